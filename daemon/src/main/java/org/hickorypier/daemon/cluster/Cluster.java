package org.hickorypier.daemon.cluster;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.configuration.Drain;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.entry.HomeDirectory;
import org.hickorypier.daemon.membership.Membership;
import org.hickorypier.daemon.peer.PeerException;
import org.hickorypier.daemon.peer.PeerIdentity;
import org.hickorypier.daemon.peer.PeerNetwork;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.work.Submission;
import org.hickorypier.daemon.work.WorkResult;
import org.hickorypier.daemon.worker.ControlView;
import org.hickorypier.platform.instance.InstanceKind;
import org.hickorypier.platform.instance.ListedInstance;
import org.hickorypier.wire.message.PeerMessage.Answer;
import org.hickorypier.wire.message.PeerMessage.ForwardedAnswer;
import org.hickorypier.wire.message.PeerMessage.Question;
import org.hickorypier.wire.message.PeerMessage.Reply;

/**
 * This instance's view of the other instances: which are live, which one should control each worker
 * or be the home of work, and how to send them requests.
 *
 * <p>Confined to the control thread. The view may be wrong at any time, and the views of two
 * instances may differ. It decides where work is sent, never whether work may run.
 */
public final class Cluster implements ControlView, HomeDirectory {

  private static final Logger LOGGER = System.getLogger(Cluster.class.getName());
  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** Run time beyond the deadline, since the home may place the task as late as the deadline. */
  private static final long RUN_ALLOWANCE_MILLIS = 10 * 60 * 1_000;

  /** Hop count of work on its way to its home. */
  static final int HOPS_TO_HOME = 1;

  /**
   * Hop count of work that its home has sent on. It is not forwarded again, which rules out loops.
   */
  static final int HOPS_FROM_HOME = 2;

  /**
   * Hop count of a request to join work at the instance that has it, without accepting new work.
   */
  static final int HOPS_TO_HOLDER = 3;

  private static final Duration LOST_INSTANCE_CHECK_PERIOD = Duration.ofMillis(250);
  private static final Duration QUESTION_TIMEOUT = Duration.ofSeconds(5);

  private final PeerIdentity localIdentity;
  private final Membership membership;
  private final TimerService timers;
  private Configuration configuration = Configuration.EMPTY;
  private PeerNetwork network;
  private Set<String> listedOtherInstances = Set.of();
  private final Set<PendingSend> pendingSends = ConcurrentHashMap.newKeySet();
  private boolean shuttingDown;

  /**
   * Creates the view of an instance that has no links yet.
   *
   * @param localIdentity the name and incarnation of this instance
   * @param membership the known state of the other instances
   * @param timers the clock and the periodic timers
   */
  public Cluster(PeerIdentity localIdentity, Membership membership, TimerService timers) {
    this.localIdentity = localIdentity;
    this.membership = membership;
    this.timers = timers;
  }

  /**
   * Sets the links to the other instances.
   *
   * @param peers the links
   */
  public void connect(PeerNetwork peers) {
    network = peers;
    peers.listen(membership);
  }

  /**
   * Applies the platform's instance list.
   *
   * @param instances the complete list
   */
  public void onInstanceList(List<ListedInstance> instances) {
    membership.onInstanceList(instances);
    listedOtherInstances =
        instances.stream()
            .filter(instance -> instance.kind() == InstanceKind.ENTRY)
            .map(ListedInstance::name)
            .filter(name -> !name.equals(localIdentity.name()))
            .collect(Collectors.toUnmodifiableSet());
    network.instances(instances);
  }

  /**
   * Applies a new configuration.
   *
   * @param state the configuration
   */
  public void onConfiguration(Configuration state) {
    configuration = state;
    membership.onDrains(
        state.drains().values().stream()
            .filter(Drain::draining)
            .map(Drain::name)
            .collect(Collectors.toUnmodifiableSet()));
  }

  /** Gives up all claims to workers and work, so that the other instances take them over. */
  public void shutDown() {
    shuttingDown = true;
  }

  /**
   * Returns the instances that appear live, including this one.
   *
   * @return their names
   */
  public Set<String> liveInstances() {
    return membership.live();
  }

  /**
   * Returns the other instances in the platform's list, whether they respond or not.
   *
   * @return their names
   */
  public Set<String> listedOtherInstances() {
    return listedOtherInstances;
  }

  /**
   * Returns the instances that can become the home of new work.
   *
   * @return their names
   */
  public Set<String> homeCandidates() {
    return membership.candidates();
  }

  /**
   * Returns the identity of this instance.
   *
   * @return the name and incarnation
   */
  public PeerIdentity localIdentity() {
    return localIdentity;
  }

  /**
   * Asks another instance a question.
   *
   * @param instance the instance's name
   * @param kind the kind of question
   * @param text the question's subject
   * @return the reply's bytes; fails with a {@link PeerException}
   */
  public Uni<byte[]> ask(String instance, QuestionKind kind, String text) {
    Question question = new Question(0, kind.wireName(), text);
    return network.request(instance, question, QUESTION_TIMEOUT).map(Cluster::replyData);
  }

  /**
   * Asks several instances the same question.
   *
   * @param instances the instances' names
   * @param kind the kind of question
   * @param text the question's subject
   * @return one reply per instance once every request has completed or failed; never fails
   */
  public Uni<List<PeerReply>> askAll(Collection<String> instances, QuestionKind kind, String text) {
    if (instances.isEmpty()) {
      return Uni.createFrom().item(List.of());
    }
    List<Uni<PeerReply>> questions = new ArrayList<>();
    for (String instance : instances) {
      questions.add(
          ask(instance, kind, text)
              .map(data -> new PeerReply(instance, Optional.of(data)))
              .onFailure()
              .recoverWithItem(new PeerReply(instance, Optional.empty())));
    }
    return Uni.join().all(questions).andCollectFailures();
  }

  /**
   * Returns the other instances that appear live.
   *
   * @return their names
   */
  public Set<String> liveOtherInstances() {
    Set<String> others = new TreeSet<>(liveInstances());
    others.remove(localIdentity.name());
    return others;
  }

  private static byte[] replyData(Answer answer) {
    return answer instanceof Reply reply ? reply.data() : new byte[0];
  }

  @Override
  public boolean shouldControl(String worker) {
    return !shuttingDown && membership.preferredController(worker).equals(localIdentity.name());
  }

  @Override
  public boolean isLive(String controller) {
    return PeerIdentity.parse(controller).map(membership::isLive).orElse(false);
  }

  @Override
  public boolean isDrained(String name) {
    return configuration.isDraining(name);
  }

  @Override
  public void offer(String worker) {
    String wanted = membership.preferredController(worker);
    if (wanted.equals(localIdentity.name())) {
      return;
    }
    ask(wanted, QuestionKind.OFFER, worker)
        .subscribe()
        .with(
            reply -> LOGGER.log(Level.DEBUG, "cluster: {0} offered to {1}", worker, wanted),
            error ->
                LOGGER.log(
                    Level.DEBUG, "cluster: {0} not offered: {1}", worker, error.getMessage()));
  }

  @Override
  public Optional<String> remoteHome(WorkKey key) {
    String home = membership.home(key);
    return home.equals(localIdentity.name()) ? Optional.empty() : Optional.of(home);
  }

  @Override
  public Uni<WorkResult> forward(String home, Submission submission) {
    return send(home, submission, HOPS_TO_HOME);
  }

  /**
   * Sends work whose home is this instance to another instance that runs it.
   *
   * @param instance the instance's name
   * @param submission the work
   * @return the final answer
   */
  public Uni<WorkResult> shift(String instance, Submission submission) {
    return send(instance, submission, HOPS_FROM_HOME);
  }

  /**
   * Waits for the result of work that another instance already has.
   *
   * @param instance the instance's name
   * @param submission the work
   * @return the final answer; unsettled if that instance no longer has the work
   */
  public Uni<WorkResult> join(String instance, Submission submission) {
    return send(instance, submission, HOPS_TO_HOLDER);
  }

  private Uni<WorkResult> send(String instance, Submission submission, int hops) {
    long now = timers.nowMillis();
    long remaining = Math.max(0, submission.item().deadlineMillis() - now);
    Uni<WorkResult> answered =
        network
            .request(
                instance,
                ForwardCodec.toForwardedWork(submission, hops, now),
                Duration.ofMillis(remaining + RUN_ALLOWANCE_MILLIS))
            .map(answer -> ForwardCodec.toWorkResult((ForwardedAnswer) answer))
            .onFailure()
            .recoverWithItem(Cluster::resultOfFailedSend);
    return Uni.createFrom().emitter(emitter -> new PendingSend(instance, emitter).start(answered));
  }

  /** Starts the periodic check for work that was sent to instances which have since been lost. */
  public void start() {
    timers.every(LOST_INSTANCE_CHECK_PERIOD, this::failSendsToLostInstances);
  }

  // A request to a lost instance would stay pending until its deadline, since the link waits for
  // the instance to return. The caller gets an unknown outcome immediately instead.
  private void failSendsToLostInstances() {
    Set<String> live = membership.live();
    for (PendingSend pending : List.copyOf(pendingSends)) {
      if (!live.contains(pending.instance)) {
        pending.finish(resultOfFailedSend(new PeerException(pending.instance + " is gone", true)));
      }
    }
  }

  // A home that was lost after it accepted the work may have run it. Only a refusal by the link,
  // before anything was written, proves that this try did not run; it proves nothing about earlier
  // tries.
  private static WorkResult resultOfFailedSend(Throwable error) {
    if (error instanceof PeerException known && !known.mayHaveBeenTaken()) {
      return new WorkResult.Unsettled(
          new Refusal(RefusalReason.NOT_READY, known.getMessage(), RETRY_AFTER_MILLIS));
    }
    return new WorkResult.Answered(
        Outcome.UNKNOWN, "the instance that had the work was lost", new byte[0]);
  }

  /**
   * Encodes the text of a reply in UTF-8.
   *
   * @param text the text
   * @return the encoded bytes
   */
  public static byte[] utf8Bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Reads the text form of a work key.
   *
   * @param text the team and the request id, separated by a slash
   * @return the key
   */
  static WorkKey parseWorkKey(String text) {
    int slash = text.indexOf('/');
    return new WorkKey(text.substring(0, Math.max(0, slash)), text.substring(slash + 1));
  }

  /** Work that was sent to another instance and has not been answered. */
  private final class PendingSend {

    private final String instance;
    private final UniEmitter<? super WorkResult> emitter;

    PendingSend(String instance, UniEmitter<? super WorkResult> emitter) {
      this.instance = instance;
      this.emitter = emitter;
    }

    void start(Uni<WorkResult> answered) {
      pendingSends.add(this);
      answered.subscribe().with(this::finish);
    }

    void finish(WorkResult result) {
      if (pendingSends.remove(this)) {
        emitter.complete(result);
      }
    }
  }
}
