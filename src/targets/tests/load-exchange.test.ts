import { GatewayGroup } from './gateway-group';

describe('load exchange through a coordinator', () => {
  let group: GatewayGroup;

  beforeEach(() => {
    group = new GatewayGroup(['a', 'b', 'c', 'd']);
    group.hasTeams = false;
    group.setLoad('a', 1);
    group.setLoad('b', 2);
    group.setLoad('c', 3);
    group.setLoad('d', 4);
    group.clock.advance(50);
  });

  afterEach(() => {
    group.stop();
  });

  const loadsFromOthers = () => ['a', 'b', 'c', 'd'].map((name) => group.loadFromOthers(name));

  it('sends each gateway the sum of all others within two intervals', () => {
    expect(loadsFromOthers()).toEqual([9, 8, 7, 6]);
  });

  it('sends changed loads', () => {
    group.setLoad('d', 0);
    group.clock.advance(50);
    expect(loadsFromOthers()).toEqual([5, 4, 3, 6]);
  });

  it('sends few messages while the loads are unchanged', () => {
    group.messages.length = 0;
    group.clock.advance(1000);
    // Three gateways and the coordinator resend their reports five times.
    expect(group.messages.length).toBeLessThanOrEqual(30);
  });

  it('switches to the next gateway when the coordinator is suspended', () => {
    group.cutOff.add('a');
    group.setLoad('d', 7);
    group.clock.advance(1000);
    expect(group.loadFromOthers('b')).toBe(10);
    expect(group.loadFromOthers('d')).toBe(5);
  });

  it('expires the loads of a gateway that sends no reports', () => {
    group.cutOff.add('d');
    group.clock.advance(2000);
    expect(group.loadFromOthers('b')).toBe(4);
  });
});
