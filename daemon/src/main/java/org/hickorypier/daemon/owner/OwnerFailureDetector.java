package org.hickorypier.daemon.owner;

import java.time.Duration;
import java.util.function.Supplier;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.daemon.link.Link;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.time.TimerService;

/**
 * Looks whether the owner answers while requests wait, and steps in for one that gives no sign of
 * life.
 *
 * <p>Failure: the owner's machine loses power, stands still, or its link goes silent for good.
 * Symptom: nothing refuses or resets, and callers wait for the store's group to notice, some 2 s,
 * longer than a short check has. Safeguard: an owner without any reply is asked for a sign of life,
 * and instances step in one after another if there is none. It is enough because an owner that is
 * merely busy answers the question from memory, and one that lives behind a cut is seen in its
 * journal. Belongs to the control thread.
 */
final class OwnerFailureDetector {

  private static final String PART = "gateway";

  private static final Duration CHECK_PERIOD = Duration.ofMillis(50);

  /**
   * An owner that leaves requests without any reply for so long is asked for a sign of life. Most
   * replies take 20 ms; acceptances take as long as the store, which such an owner tells at once.
   */
  private static final long PROBE_AFTER_MILLIS = 200;

  /** An owner that gives no sign of life within this time is suspected to be lost. */
  private static final long PROBE_TIMEOUT_MILLIS = 250;

  private final TimerService timers;
  private final EventLog log;
  private final OwnerDirectory directory;
  private final Ownership ownership;
  private final Requests requests;
  private final Supplier<Duration> takeoverDelay;
  private boolean probeInFlight;

  /** The requests that wait for the owner. */
  interface Requests {

    /** Returns how many wait. */
    int pendingCount();

    /** Returns for how long requests have waited without any reply, in milliseconds. */
    long silentMillis();

    /** Returns the link to the owner, or null. */
    Link link();

    /** Returns the owner at the other end of the link. */
    OwnerRecord linkedOwner();

    /** Returns when the owner last replied, by the timers' clock. */
    long repliedAt();

    /** Takes notice of a sign of life. */
    void ownerResponded();
  }

  OwnerFailureDetector(
      TimerService timers,
      EventLog log,
      OwnerDirectory directory,
      Ownership ownership,
      Requests requests,
      Supplier<Duration> stepInDelay) {
    this.timers = timers;
    this.log = log;
    this.directory = directory;
    this.ownership = ownership;
    this.requests = requests;
    this.takeoverDelay = stepInDelay;
  }

  void start() {
    timers.every(CHECK_PERIOD, this::checkOwner);
  }

  private void checkOwner() {
    Link link = requests.link();
    if (link == null
        || probeInFlight
        || requests.pendingCount() == 0
        || requests.silentMillis() < PROBE_AFTER_MILLIS) {
      return;
    }
    probeInFlight = true;
    OwnerRecord asked = requests.linkedOwner();
    link.sendRequest(new LinkRequest.ProveOwnership(), PROBE_TIMEOUT_MILLIS)
        .onComplete(
            reply -> {
              probeInFlight = false;
              requests.ownerResponded();
            },
            error -> {
              probeInFlight = false;
              suspectOwner(asked);
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
                "the owner answers nothing",
                () -> silent.equals(directory.owner()) && requests.repliedAt() == lastReply));
  }
}
