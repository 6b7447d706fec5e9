import { Confirmation } from '../../cluster';
import { Metrics } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { type Route, RouteTable } from '../../routes';
import { type Team, digestKey } from '../../teams';
import type { Exchange } from '../exchange';
import { KeyGuard } from '../key-guard';

const REMOVAL_MILLISECONDS = 5000;
const ROUTE = { isPublic: false } as unknown as Route;

function tableOf(version: number, keysByTeam: Readonly<Record<string, readonly string[]>>) {
  const teams = Object.entries(keysByTeam).map(([name, keys]): Team => {
    return { name, keyDigests: keys.map(digestKey), priority: 0, quota: undefined };
  });
  const limits = { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 };
  return new RouteTable({ version, routes: [], services: [], limits, teams });
}

class GuardFixture {
  readonly clock = new ManualClock();
  readonly confirmation = new Confirmation(this.clock);
  readonly guard: KeyGuard;
  table = tableOf(1, { red: ['r1'], blue: ['b1'] });
  newestVersion = 1;

  constructor(isConfirmed = true) {
    if (isConfirmed) this.confirmation.confirm(0);
    this.guard = new KeyGuard({
      routes: () => this.table,
      newestVersion: () => this.newestVersion,
      confirmation: this.confirmation,
      removalMilliseconds: REMOVAL_MILLISECONDS,
      metrics: new Metrics(),
    });
  }

  exchange(key: string | undefined): Exchange {
    const arrivedAt = this.clock.monotonic();
    return { head: { key }, arrivedAt, decide: () => undefined } as unknown as Exchange;
  }

  /** Lets time pass in a process that runs. */
  runFor(milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += 100) {
      this.clock.advance(100);
      this.confirmation.noteRunning();
    }
  }

  configure(table: RouteTable): void {
    this.table = table;
    this.newestVersion = table.configuration.version;
  }
}

describe('a gateway that settles who asks', () => {
  it('notes the team of the key, and that targets are not shown it', async () => {
    const { guard, ...fixture } = new GuardFixture();
    const exchange = { head: { key: 'b1' }, arrivedAt: 0 } as unknown as Exchange;
    expect(await guard.admit(exchange, ROUTE)).toBeUndefined();
    expect([exchange.team?.name, exchange.hidesKey]).toEqual(['blue', true]);
    expect(fixture.confirmation.waiting).toBe(0);
  });

  it('refuses at once without a key, also while the leader is awaited', async () => {
    const fixture = new GuardFixture(false);
    const refusal = await fixture.guard.admit(fixture.exchange(undefined), ROUTE);
    expect(refusal).toMatchObject({ status: 401, code: 'no_key' });
  });

  describe('while the leader is not reached', () => {
    it('serves for a part of the time, and then refuses at once as not run', async () => {
      const fixture = new GuardFixture();
      fixture.runFor(4200);
      expect(await fixture.guard.admit(fixture.exchange('r1'), ROUTE)).toBeUndefined();
      expect(fixture.guard.isConfirmed).toBe(true);
      fixture.runFor(100);
      const refusal = await fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      expect(refusal).toMatchObject({ status: 503, code: 'keys_unconfirmed' });
      expect(fixture.guard.isConfirmed).toBe(false);
    });

    it('refuses what waited while the process was frozen, unless the leader speaks soon', async () => {
      const fixture = new GuardFixture();
      fixture.clock.jump(20_000);
      const admitted = fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      fixture.clock.advance(600);
      const refusal = await admitted;
      expect(refusal).toMatchObject({ status: 503, code: 'keys_unconfirmed' });
    });

    it('serves what waited while the process was frozen once the leader has spoken', async () => {
      const fixture = new GuardFixture();
      fixture.clock.jump(20_000);
      const first = fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      fixture.confirmation.noteRunning();
      const second = fixture.guard.admit(fixture.exchange('b1'), ROUTE);
      fixture.clock.advance(40);
      fixture.confirmation.confirm(20_010);
      expect(await Promise.all([first, second])).toEqual([undefined, undefined]);
    });

    it('does not take a word from before the freeze for one after it', async () => {
      const fixture = new GuardFixture();
      fixture.clock.jump(20_000);
      const admitted = fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      fixture.confirmation.confirm(100);
      fixture.clock.advance(600);
      expect(await admitted).toMatchObject({ status: 503, code: 'keys_unconfirmed' });
    });

    it('sends nothing more of what it had admitted', async () => {
      const fixture = new GuardFixture();
      const exchange = fixture.exchange('r1');
      await fixture.guard.admit(exchange, ROUTE);
      expect(fixture.guard.recheck(exchange)).toBeUndefined();
      fixture.clock.jump(5000);
      expect(fixture.guard.recheck(exchange)).toMatchObject({ code: 'keys_unconfirmed' });
    });
  });

  describe('that was started again', () => {
    it("waits for the leader's first word, and serves with it", async () => {
      const fixture = new GuardFixture(false);
      const admitted = fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      fixture.clock.advance(200);
      fixture.confirmation.confirm(200);
      expect(await admitted).toBeUndefined();
    });

    it('refuses at once when no leader was heard for some seconds', async () => {
      const fixture = new GuardFixture(false);
      fixture.runFor(3100);
      const refusal = await fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      expect(refusal).toMatchObject({ status: 503, code: 'keys_unconfirmed' });
    });

    it('serves nobody by what it knew before, if no leader is heard', async () => {
      const fixture = new GuardFixture(false);
      const admitted = fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      fixture.clock.advance(600);
      expect(await admitted).toMatchObject({ status: 503, code: 'keys_unconfirmed' });
    });
  });

  describe('given a key that it does not know', () => {
    it('serves if the newest configuration has it, which it learns of meanwhile', async () => {
      const fixture = new GuardFixture();
      fixture.clock.advance(100);
      const exchange = fixture.exchange('r2');
      const admitted = fixture.guard.admit(exchange, ROUTE);
      fixture.configure(tableOf(2, { red: ['r1', 'r2'] }));
      fixture.confirmation.confirm(150);
      expect(await admitted).toBeUndefined();
      expect(exchange.team?.name).toBe('red');
    });

    it('refuses for good only when the leader has confirmed that nobody has it', async () => {
      const fixture = new GuardFixture();
      fixture.clock.advance(100);
      const admitted = fixture.guard.admit(fixture.exchange('r2'), ROUTE);
      fixture.confirmation.confirm(150);
      expect(await admitted).toMatchObject({ status: 401, code: 'unknown_key' });
    });

    it('refuses for now where the leader is not reached', async () => {
      const fixture = new GuardFixture();
      fixture.clock.advance(100);
      const admitted = fixture.guard.admit(fixture.exchange('r2'), ROUTE);
      fixture.clock.advance(600);
      expect(await admitted).toMatchObject({ status: 503, code: 'keys_unconfirmed' });
    });
  });

  describe('that learns of a newer configuration', () => {
    it('sends nothing more under a key that was removed, or that another team has now', async () => {
      const fixture = new GuardFixture();
      const red = fixture.exchange('r1');
      const blue = fixture.exchange('b1');
      await fixture.guard.admit(red, ROUTE);
      await fixture.guard.admit(blue, ROUTE);
      fixture.configure(tableOf(2, { red: ['b1'], blue: ['b2'] }));
      expect(fixture.guard.recheck(red)).toMatchObject({ status: 401, code: 'unknown_key' });
      expect(fixture.guard.recheck(blue)).toMatchObject({ status: 401, code: 'unknown_key' });
      expect(blue.team?.name).toBe('blue');
    });

    it('serves nobody by the old one if it can not read the new one', async () => {
      const fixture = new GuardFixture();
      fixture.newestVersion = 2;
      const refusal = await fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      expect(refusal).toMatchObject({ status: 503, code: 'keys_unconfirmed' });
      expect(fixture.guard.isConfirmed).toBe(false);
    });
  });
});
