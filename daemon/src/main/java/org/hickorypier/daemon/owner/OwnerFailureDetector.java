package org.hickorypier.daemon.owner;

import java.time.Duration;
import java.util.function.Supplier;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.daemon.link.Link;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.time.TimerSubscription;

/**
 * Probes an owner that leaves requests unanswered, and starts a takeover if it shows no sign of
 * life.
 *
 * <p>Failure: the owner's machine loses power or stops, or its link goes silent for good. Nothing
 * refuses or resets a connection then, and callers would wait some 2 s for the store's group to
 * notice, longer than a short check has. An owner from which no reply arrives is therefore probed,
 * and if the probe fails the instances take over one after another. An owner that is merely busy
 * answers the probe from memory, and one that is alive behind a network partition is detected by
 * its writes to the journal. Confined to the control thread.
 */
final class OwnerFailureDetector {

  private static final String PART = "gateway";

  private static final Duration CHECK_PERIOD = Duration.ofMillis(50);

  /**
   * An owner that sends no reply to waiting requests for this time is probed. Most replies take 20
   * ms. Acceptances take as long as the store, but an owner that waits for the store answers the
   * probe at once.
   */
  private static final long PROBE_AFTER_MILLIS = 200;

  /**
   * A new owner hears all workers, takes all waiting requests and starts what is ready, on a weak
   * machine for seconds. Meanwhile it is not suspected, or each owner would be replaced before it
   * has served anybody.
   */
  private static final int NEW_OWNER_BURSTS = 12;

  /** An owner that does not answer the probe within this time is suspected to be lost. */
  private static final long PROBE_TIMEOUT_MILLIS = 250;

  private final TimerService timers;
  private final EventLog log;
  private final OwnerDirectory directory;
  private final Ownership ownership;
  private final Requests requests;
  private final Supplier<Duration> takeoverDelay;
  private final long burstDelayMillis;
  private boolean probeInFlight;
  private TimerSubscription checkTimer;

  /** The requests that wait for the owner. */
  interface Requests {

    /** Returns how many requests wait. */
    int pendingCount();

    /** Returns for how long requests have waited without any reply, in milliseconds. */
    long silentMillis();

    /** Returns the link to the owner, or null if there is none. */
    Link link();

    /** Returns the owner at the other end of the link. */
    OwnerRecord linkedOwner();

    /** Returns when the owner last replied, by the timers' clock. */
    long repliedAt();

    /** Records that the owner has answered a probe. */
    void ownerResponded();
  }

  /**
   * Creates the detector.
   *
   * @param burstDelayMillis how long a reply may wait behind a burst of work at the owner, in
   *     milliseconds
   */
  OwnerFailureDetector(
      TimerService timers,
      EventLog log,
      OwnerDirectory directory,
      Ownership ownership,
      Requests requests,
      Supplier<Duration> takeoverDelay,
      long burstDelayMillis) {
    this.timers = timers;
    this.log = log;
    this.directory = directory;
    this.ownership = ownership;
    this.requests = requests;
    this.takeoverDelay = takeoverDelay;
    this.burstDelayMillis = burstDelayMillis;
  }

  /**
   * Returns how long a new owner is not suspected.
   *
   * @param burstDelayMillis how long a message may wait behind a burst of work at the owner, in
   *     milliseconds
   */
  static long newOwnerGraceMillis(long burstDelayMillis) {
    return NEW_OWNER_BURSTS * burstDelayMillis;
  }

  /** Checks the owner from now on, for as long as requests wait for it. */
  void requestAdded() {
    if (checkTimer == null) {
      checkTimer = timers.every(CHECK_PERIOD, this::checkOwner);
    }
  }

  private void checkOwner() {
    if (requests.pendingCount() == 0) {
      checkTimer.cancel();
      checkTimer = null;
      return;
    }
    Link link = requests.link();
    if (link == null
        || directory.hasChangedWithin(newOwnerGraceMillis(burstDelayMillis))
        || probeInFlight
        || requests.silentMillis() < PROBE_AFTER_MILLIS + burstDelayMillis) {
      return;
    }
    probeInFlight = true;
    OwnerRecord probed = requests.linkedOwner();
    long framesBefore = link.framesReceived();
    link.sendRequest(new LinkRequest.ProveOwnership(), PROBE_TIMEOUT_MILLIS + burstDelayMillis)
        .onComplete(
            reply -> {
              probeInFlight = false;
              requests.ownerResponded();
            },
            error -> {
              probeInFlight = false;
              // Whatever has arrived meanwhile is a sign of life too; the reply is only late.
              if (link.framesReceived() == framesBefore) {
                suspectOwner(probed);
              }
            });
  }

  private void suspectOwner(OwnerRecord silent) {
    if (!silent.equals(directory.owner())) {
      return;
    }
    long lastReply = requests.repliedAt();
    log.event(
        PART,
        "owner-suspected",
        "epoch",
        silent.epoch(),
        "silent_ms",
        requests.silentMillis(),
        "pending",
        requests.pendingCount());
    timers.after(
        takeoverDelay.get(),
        () ->
            ownership.tryTakeOverUnlessAlive(
                "the owner does not respond",
                () -> silent.equals(directory.owner()) && requests.repliedAt() == lastReply));
  }
}
