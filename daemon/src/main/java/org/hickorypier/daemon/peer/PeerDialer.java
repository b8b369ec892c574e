package org.hickorypier.daemon.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.hickorypier.core.routing.BackOff;
import org.hickorypier.daemon.time.TimerService;

/**
 * Decides when to dial which instance.
 *
 * <p>Load it is made for: an instance is gone for hours, or all instances lose one at once. Waits
 * between two tries double up to {@link #LONGEST_WAIT} and are jittered, so a returning instance is
 * found within seconds and does not meet all dialers in one moment.
 *
 * <p>Not thread safe: it belongs to the control thread.
 */
final class PeerDialer {

  /** The first wait; a link that broke is back well within the limit of silence. */
  private static final Duration FIRST_WAIT = Duration.ofMillis(100);

  /** The longest wait; a returning instance is linked within the seconds that changes may take. */
  private static final Duration LONGEST_WAIT = Duration.ofSeconds(2);

  /**
   * A link that stood shorter counts as a failed try. An instance that is accepted and thrown out
   * again, because a newer one runs under its name, would otherwise dial ten times a second.
   */
  private static final Duration STABLE = Duration.ofSeconds(5);

  private final PeerIdentity own;
  private final TimerService timers;
  private final BiConsumer<String, String> dial;
  private final RandomGenerator random;
  private final Map<String, Target> targets = new HashMap<>();

  /**
   * Creates a dialer that knows no instance.
   *
   * @param own this instance
   * @param timers the time
   * @param dial opens a connection to a name at an address
   */
  PeerDialer(PeerIdentity own, TimerService timers, BiConsumer<String, String> dial) {
    this.own = own;
    this.timers = timers;
    this.dial = dial;
    this.random = new SplittableRandom(own.hashCode());
  }

  /** Takes in the addresses of all other listed instances by name. */
  void addresses(Map<String, String> addresses) {
    targets.keySet().retainAll(addresses.keySet());
    addresses.forEach(
        (name, address) -> targets.computeIfAbsent(name, ignored -> new Target()).move(address));
  }

  boolean isListed(String name) {
    return targets.containsKey(name);
  }

  /** Dials what is ours to dial, is not linked, and has waited long enough. */
  void dialWhatIsDue(Predicate<String> linked) {
    long now = timers.nowMillis();
    Map.copyOf(targets)
        .forEach(
            (name, target) -> {
              boolean ours = own.name().compareTo(name) < 0;
              if (ours && !target.busy && target.nextMillis <= now && !linked.test(name)) {
                target.busy = true;
                dial.accept(name, target.address);
              }
            });
  }

  /** Hears that a dialled connection has become a link. */
  void linked(String name) {
    Target target = targets.get(name);
    if (target != null) {
      target.linkedMillis = timers.nowMillis();
    }
  }

  /** Hears that a dialled connection has ended or never came about. */
  void ended(String name) {
    Target target = targets.get(name);
    if (target != null) {
      target.ended(timers.nowMillis());
    }
  }

  private final class Target {
    private final BackOff backOff =
        new BackOff(FIRST_WAIT.toMillis(), LONGEST_WAIT.toMillis(), random);
    private String address;
    private boolean busy;
    private long nextMillis;
    private long linkedMillis = Long.MAX_VALUE;

    void move(String listedAddress) {
      address = listedAddress;
    }

    void ended(long now) {
      if (now - STABLE.toMillis() > linkedMillis) {
        backOff.reset();
      }
      linkedMillis = Long.MAX_VALUE;
      busy = false;
      nextMillis = now + backOff.nextDelayMillis();
    }
  }
}
