import {
  INITIAL_TARGET_HEALTH,
  type TargetHealth,
  failureShareAt,
  isPausedAt,
  nextHealth,
} from '..';

/** Health after consecutive failures to reach a target, each at the end of the previous pause. */
function afterUnreachable(failures: number): {
  readonly health: TargetHealth;
  readonly now: number;
} {
  let health = INITIAL_TARGET_HEALTH;
  let now = 0;
  for (let failure = 0; failure < failures; failure += 1) {
    now = Math.max(now, health.pausedUntil);
    health = nextHealth(health, 'unreachable', now);
  }
  return { health, now };
}

describe('target health', () => {
  describe('of an unreachable target', () => {
    it('doubles the pause with each failure up to 3 s', () => {
      const pauses = [1, 2, 3, 4, 5, 20].map((failures) => {
        const { health, now } = afterUnreachable(failures);
        return health.pausedUntil - now;
      });
      expect(pauses).toEqual([300, 600, 1200, 2400, 3000, 3000]);
    });

    it('pauses the target until the pause expires or the target responds', () => {
      const { health, now } = afterUnreachable(1);
      expect(isPausedAt(health, now + 299)).toBe(true);
      expect(isPausedAt(health, now + 300)).toBe(false);
      expect(isPausedAt(nextHealth(health, 'answered', now), now)).toBe(false);
    });

    it('restarts with the initial pause after a response', () => {
      const { health, now } = afterUnreachable(4);
      const failedAgain = nextHealth(nextHealth(health, 'answered', now), 'unreachable', now);
      expect(failedAgain.pausedUntil - now).toBe(300);
    });
  });

  describe('of a target whose address belongs to another server', () => {
    it('pauses the target permanently, whatever responses follow', () => {
      let health = nextHealth(INITIAL_TARGET_HEALTH, 'address-reused', 0);
      health = nextHealth(health, 'answered', 1);
      health = nextHealth(health, 'unreachable', 2);
      expect(isPausedAt(health, 1e9)).toBe(true);
    });
  });

  describe('of a target that fails some requests', () => {
    it('lowers the failure share with each success and halves it in 5 s', () => {
      let health = nextHealth(INITIAL_TARGET_HEALTH, 'answered-with-error', 0);
      expect(failureShareAt(health, 0)).toBeCloseTo(0.3);
      health = nextHealth(health, 'answered', 0);
      expect(failureShareAt(health, 0)).toBeCloseTo(0.21);
      expect(failureShareAt(health, 5000)).toBeCloseTo(0.105);
      expect(isPausedAt(health, 0)).toBe(false);
    });
  });
});
