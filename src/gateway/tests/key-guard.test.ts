import { LeaderConfirmation } from '../../cluster';
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

class KeyGuardFixture {
  readonly clock = new ManualClock();
  readonly confirmation = new LeaderConfirmation(this.clock);
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
    return { head: { key }, arrivedAt, recordDecision: () => undefined } as unknown as Exchange;
  }

  /** Advances time in a process that is not suspended. */
  runFor(milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += 100) {
      this.clock.advance(100);
      this.confirmation.recordActivity();
    }
  }

  configure(table: RouteTable): void {
    this.table = table;
    this.newestVersion = table.configuration.version;
  }
}

describe('KeyGuard', () => {
  it('sets the team of the key and hides the key from targets', async () => {
    const { guard, ...fixture } = new KeyGuardFixture();
    const exchange = { head: { key: 'b1' }, arrivedAt: 0 } as unknown as Exchange;
    expect(await guard.admit(exchange, ROUTE)).toBeUndefined();
    expect([exchange.team?.name, exchange.hidesKey]).toEqual(['blue', true]);
    expect(fixture.confirmation.waiterCount).toBe(0);
  });

  it('refuses a request without a key at once, even before the first confirmation by the leader', async () => {
    const fixture = new KeyGuardFixture(false);
    const refusal = await fixture.guard.admit(fixture.exchange(undefined), ROUTE);
    expect(refusal).toMatchObject({ status: 401, code: 'no_key' });
  });

  describe('while the leader is unreachable', () => {
    it('serves for 85% of the key removal time, then refuses at once', async () => {
      const fixture = new KeyGuardFixture();
      fixture.runFor(4200);
      expect(await fixture.guard.admit(fixture.exchange('r1'), ROUTE)).toBeUndefined();
      expect(fixture.guard.isConfirmed).toBe(true);
      fixture.runFor(100);
      const refusal = await fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      expect(refusal).toMatchObject({ status: 503, code: 'keys_unconfirmed' });
      expect(fixture.guard.isConfirmed).toBe(false);
    });

    it('refuses requests that arrived during a suspension if the leader does not confirm in time', async () => {
      const fixture = new KeyGuardFixture();
      fixture.clock.jump(20_000);
      const admitted = fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      fixture.clock.advance(600);
      const refusal = await admitted;
      expect(refusal).toMatchObject({ status: 503, code: 'keys_unconfirmed' });
    });

    it('serves requests that arrived during a suspension once the leader confirms', async () => {
      const fixture = new KeyGuardFixture();
      fixture.clock.jump(20_000);
      const first = fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      fixture.confirmation.recordActivity();
      const second = fixture.guard.admit(fixture.exchange('b1'), ROUTE);
      fixture.clock.advance(40);
      fixture.confirmation.confirm(20_010);
      expect(await Promise.all([first, second])).toEqual([undefined, undefined]);
    });

    it('does not accept a confirmation from before the suspension', async () => {
      const fixture = new KeyGuardFixture();
      fixture.clock.jump(20_000);
      const admitted = fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      fixture.confirmation.confirm(100);
      fixture.clock.advance(600);
      expect(await admitted).toMatchObject({ status: 503, code: 'keys_unconfirmed' });
    });

    it('rejects the recheck of an admitted request once the confirmation has expired', async () => {
      const fixture = new KeyGuardFixture();
      const exchange = fixture.exchange('r1');
      await fixture.guard.admit(exchange, ROUTE);
      expect(fixture.guard.recheck(exchange)).toBeUndefined();
      fixture.clock.jump(5000);
      expect(fixture.guard.recheck(exchange)).toMatchObject({ code: 'keys_unconfirmed' });
    });
  });

  describe('after a restart', () => {
    it('waits for the first confirmation by the leader, then serves', async () => {
      const fixture = new KeyGuardFixture(false);
      const admitted = fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      fixture.clock.advance(200);
      fixture.confirmation.confirm(200);
      expect(await admitted).toBeUndefined();
    });

    it('refuses at once if the leader did not confirm within 3 s after the start', async () => {
      const fixture = new KeyGuardFixture(false);
      fixture.runFor(3100);
      const refusal = await fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      expect(refusal).toMatchObject({ status: 503, code: 'keys_unconfirmed' });
    });

    it('refuses known keys if the leader does not confirm in time', async () => {
      const fixture = new KeyGuardFixture(false);
      const admitted = fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      fixture.clock.advance(600);
      expect(await admitted).toMatchObject({ status: 503, code: 'keys_unconfirmed' });
    });
  });

  describe('for an unknown key', () => {
    it('serves if a configuration that arrives during the wait has the key', async () => {
      const fixture = new KeyGuardFixture();
      fixture.clock.advance(100);
      const exchange = fixture.exchange('r2');
      const admitted = fixture.guard.admit(exchange, ROUTE);
      fixture.configure(tableOf(2, { red: ['r1', 'r2'] }));
      fixture.confirmation.confirm(150);
      expect(await admitted).toBeUndefined();
      expect(exchange.team?.name).toBe('red');
    });

    it('refuses with 401 only after the leader has confirmed the configuration', async () => {
      const fixture = new KeyGuardFixture();
      fixture.clock.advance(100);
      const admitted = fixture.guard.admit(fixture.exchange('r2'), ROUTE);
      fixture.confirmation.confirm(150);
      expect(await admitted).toMatchObject({ status: 401, code: 'unknown_key' });
    });

    it('refuses with 503 if the leader is unreachable', async () => {
      const fixture = new KeyGuardFixture();
      fixture.clock.advance(100);
      const admitted = fixture.guard.admit(fixture.exchange('r2'), ROUTE);
      fixture.clock.advance(600);
      expect(await admitted).toMatchObject({ status: 503, code: 'keys_unconfirmed' });
    });
  });

  describe('after a change of the configuration', () => {
    it('rejects the recheck of a key that was removed or moved to another team', async () => {
      const fixture = new KeyGuardFixture();
      const red = fixture.exchange('r1');
      const blue = fixture.exchange('b1');
      await fixture.guard.admit(red, ROUTE);
      await fixture.guard.admit(blue, ROUTE);
      fixture.configure(tableOf(2, { red: ['b1'], blue: ['b2'] }));
      expect(fixture.guard.recheck(red)).toMatchObject({ status: 401, code: 'unknown_key' });
      expect(fixture.guard.recheck(blue)).toMatchObject({ status: 401, code: 'unknown_key' });
      expect(blue.team?.name).toBe('blue');
    });

    it('refuses if it cannot parse the newest configuration', async () => {
      const fixture = new KeyGuardFixture();
      fixture.newestVersion = 2;
      const refusal = await fixture.guard.admit(fixture.exchange('r1'), ROUTE);
      expect(refusal).toMatchObject({ status: 503, code: 'keys_unconfirmed' });
      expect(fixture.guard.isConfirmed).toBe(false);
    });
  });
});
