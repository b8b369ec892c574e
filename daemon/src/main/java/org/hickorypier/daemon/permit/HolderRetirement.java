package org.hickorypier.daemon.permit;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.hickorypier.core.permits.Holder;
import org.hickorypier.core.permits.PermitState;
import org.hickorypier.core.permits.RetirementRule;
import org.hickorypier.core.permits.WorkerObservation;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.wire.record.PermitRecord.Retire;

/**
 * Frees the permits of instances that are gone.
 *
 * <p>Belongs to the control thread. It fences a lost holder off once no worker is under its control
 * and retires it once none runs a task that its permits cover, each after asking every worker.
 * Permits freed late cost room below the limit; freed early they would let a team run over it.
 */
public final class HolderRetirement {

  private static final Logger LOGGER = System.getLogger(HolderRetirement.class.getName());

  /** A takeover takes some seconds, and asking all workers again sooner brings nothing. */
  private static final Duration PERIOD = Duration.ofSeconds(2);

  private final PermitService permits;
  private final TimerService timers;
  private final Executor control;
  private final Predicate<Holder> isLive;
  private final Predicate<Holder> isMine;
  private final Consumer<Consumer<Optional<List<WorkerObservation>>>> askAll;
  private boolean roundOpen;

  /**
   * Creates the retirement.
   *
   * @param permits the permits
   * @param timers the time
   * @param control the control thread
   * @param isLive whether a holder still looks live
   * @param isMine whether this instance is the one to look after a lost holder
   * @param askAll asks every worker, and gives their words, or nothing if one is missing
   */
  public HolderRetirement(
      PermitService permits,
      TimerService timers,
      Executor control,
      Predicate<Holder> isLive,
      Predicate<Holder> isMine,
      Consumer<Consumer<Optional<List<WorkerObservation>>>> askAll) {
    this.permits = permits;
    this.timers = timers;
    this.control = control;
    this.isLive = isLive;
    this.isMine = isMine;
    this.askAll = askAll;
  }

  /** Starts to look for lost holders. */
  public void start() {
    timers.every(PERIOD, this::look);
  }

  private void look() {
    List<Holder> gone = new ArrayList<>();
    for (Holder holder : holders(permits.state())) {
      if (!isLive.test(holder) && isMine.test(holder)) {
        gone.add(holder);
      }
    }
    if (gone.isEmpty() || roundOpen) {
      return;
    }
    roundOpen = true;
    PermitState before = permits.state();
    askAll.accept(
        sightings ->
            control.execute(
                () -> {
                  roundOpen = false;
                  sightings.ifPresent(seen -> gone.forEach(holder -> decide(before, holder, seen)));
                }));
  }

  private void decide(PermitState before, Holder gone, List<WorkerObservation> sightings) {
    if (!before.isFenced(gone)) {
      boolean unchanged = permits.state().sequenceOf(gone) == before.sequenceOf(gone);
      if (unchanged && RetirementRule.mayFence(gone, sightings)) {
        LOGGER.log(Level.INFO, "permits: {0} is fenced off", gone);
        permits.fence(gone);
      }
    } else if (RetirementRule.mayRetire(permits.state(), gone, sightings)) {
      LOGGER.log(Level.INFO, "permits: those of {0} are freed", gone);
      permits.append(new Retire(gone.instance(), gone.incarnation()));
    }
  }

  private static Set<Holder> holders(PermitState state) {
    Set<Holder> holders = new TreeSet<>();
    state
        .teams()
        .values()
        .forEach(
            team ->
                team.holds()
                    .forEach(
                        (holder, held) -> {
                          if (held.count() > 0) {
                            holders.add(holder);
                          }
                        }));
    return holders;
  }
}
