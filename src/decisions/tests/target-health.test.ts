import { NEW_TARGET_HEALTH, type TargetHealth, failureShareAt, isPausedAt, nextHealth } from '..';

/** What is known after some failures to reach a target, each at the end of the pause before. */
function unreachable(times: number): { readonly health: TargetHealth; readonly now: number } {
  let health = NEW_TARGET_HEALTH;
  let now = 0;
  for (let time = 0; time < times; time += 1) {
    now = Math.max(now, health.pausedUntil);
    health = nextHealth(health, 'unreachable', now);
  }
  return { health, now };
}

describe('the health of a target', () => {
  describe('that can not be reached', () => {
    it('doubles its pause with each failure, up to three seconds', () => {
      const pauses = [1, 2, 3, 4, 5, 20].map((times) => {
        const { health, now } = unreachable(times);
        return health.pausedUntil - now;
      });
      expect(pauses).toEqual([300, 600, 1200, 2400, 3000, 3000]);
    });

    it('is paused until the pause is over, or until it answers', () => {
      const { health, now } = unreachable(1);
      expect(isPausedAt(health, now + 299)).toBe(true);
      expect(isPausedAt(health, now + 300)).toBe(false);
      expect(isPausedAt(nextHealth(health, 'answered', now), now)).toBe(false);
    });

    it('begins with the first pause again after an answer', () => {
      const { health, now } = unreachable(4);
      const again = nextHealth(nextHealth(health, 'answered', now), 'unreachable', now);
      expect(again.pausedUntil - now).toBe(300);
    });
  });

  describe('whose address another server has', () => {
    it('is paused for ever, whatever that one answers', () => {
      let health = nextHealth(NEW_TARGET_HEALTH, 'address-reused', 0);
      health = nextHealth(health, 'answered', 1);
      health = nextHealth(health, 'unreachable', 2);
      expect(isPausedAt(health, 1e9)).toBe(true);
    });
  });

  describe('that fails a part of its requests', () => {
    it('has a share of failures that answers lower and time halves', () => {
      let health = nextHealth(NEW_TARGET_HEALTH, 'answered-with-error', 0);
      expect(failureShareAt(health, 0)).toBeCloseTo(0.3);
      health = nextHealth(health, 'answered', 0);
      expect(failureShareAt(health, 0)).toBeCloseTo(0.21);
      expect(failureShareAt(health, 5000)).toBeCloseTo(0.105);
      expect(isPausedAt(health, 0)).toBe(false);
    });
  });
});
