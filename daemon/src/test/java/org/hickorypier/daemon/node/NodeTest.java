package org.hickorypier.daemon.node;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.hickorypier.daemon.owner.Strength;
import org.hickorypier.platform.http.HttpReply;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.fault.FaultPlan;
import org.hickorypier.standins.http.StoreServer;
import org.junit.jupiter.api.Test;

/** Tests instances end to end over the stand-ins: callers, instances, store and workers. */
class NodeTest {

  private static final String ID_FORMAT = "5c0e7a21d94b36f%x";

  private static final Set<String> ENDED = Set.of("completed", "failed", "cancelled");

  /** Longest time from the last run of a persistent task to its next run. */
  private static final long MAX_PERSISTENT_RESTART_MILLIS = 9_000;

  /** Shortest time that a step has waited when the log reports what it waits for. */
  private static final long MIN_LOGGED_WAIT_MILLIS = 2_000;

  @Test
  void submissionIsAcceptedRunAndReportedAsCompleted() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 50)) {
      SmallCluster.Instance first = cluster.start();
      SmallCluster.Instance second = cluster.start();
      String id = ID_FORMAT.formatted(1);
      assertThat(cluster.submit(second, id, 3).status()).isEqualTo(200);
      cluster.waitUntil(() -> cluster.state(first, id).equals("completed"));
      assertThat(cluster.state(second, id)).isEqualTo("completed");
      assertThat(cluster.starts()).hasSize(3).doesNotHaveDuplicates();
      assertThat(cluster.state(first, ID_FORMAT.formatted(2))).isEqualTo("410");
    }
  }

  /**
   * Guards against tasks that start twice when the owner's process is killed while they run.
   * Another instance takes over, finds the submission in the journal and the runs at the workers,
   * and reports the submission as completed.
   */
  @Test
  void successorAdoptsRunningTasks() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 1_500)) {
      SmallCluster.Instance owner = cluster.start();
      SmallCluster.Instance other = cluster.start();
      String id = ID_FORMAT.formatted(3);
      assertThat(cluster.submit(other, id, 4).status()).isEqualTo(200);
      cluster.waitUntil(() -> cluster.starts().size() == 4);
      cluster.kill(owner);
      cluster.waitUntil(() -> cluster.state(other, id).equals("completed"));
      assertThat(cluster.starts()).hasSize(4).doesNotHaveDuplicates();
    }
  }

  /**
   * A weak machine owns the cell first. A stronger one takes the cell over when it starts, and the
   * submission that the weak machine accepted completes there. When the strong machine is killed,
   * the weak one owns the cell again, so that the remaining instance serves callers.
   */
  @Test
  void strongerMachineTakesOverAndWeakerOneReplacesItAfterCrash() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 300)) {
      SmallCluster.Instance weak = cluster.start(Strength.of(0.36, 7));
      String id = ID_FORMAT.formatted(1);
      assertThat(cluster.submit(weak, id, 3).status()).isEqualTo(200);
      SmallCluster.Instance strong = cluster.start(Strength.of(1.5, 140));
      cluster.waitUntil(() -> cluster.hasLogged(strong, "owner-gained"));
      cluster.waitUntil(() -> cluster.state(weak, id).equals("completed"));
      cluster.waitUntil(() -> cluster.hasLogged(weak, "owner-lost"));
      cluster.kill(strong);
      String laterId = ID_FORMAT.formatted(2);
      cluster.waitUntil(() -> cluster.submit(weak, laterId, 2).status() == 200);
      cluster.waitUntil(() -> cluster.state(weak, laterId).equals("completed"));
      assertThat(cluster.starts()).as("%s", cluster.events).hasSize(5).doesNotHaveDuplicates();
    }
  }

  /**
   * Guards against takeovers that read the whole journal while callers wait: an instance follows it
   * at the owner's request, and serves from it when the owner is killed.
   */
  @Test
  void standbyTakesOverFromWhatItHasRead() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 800)) {
      final SmallCluster.Instance owner = cluster.start();
      SmallCluster.Instance standby = cluster.start();
      cluster.waitUntil(() -> cluster.hasLogged(standby, "following-ready"));
      String id = ID_FORMAT.formatted(1);
      assertThat(cluster.submit(standby, id, 3).status()).isEqualTo(200);
      cluster.waitUntil(() -> cluster.starts().size() == 3);
      cluster.kill(owner);
      cluster.waitUntil(() -> cluster.hasLogged(standby, "owner-gained"));
      assertThat(cluster.hasLogged(standby, "standby, true")).isTrue();
      cluster.waitUntil(() -> cluster.state(standby, id).equals("completed"));
      assertThat(cluster.starts()).hasSize(3).doesNotHaveDuplicates();
    }
  }

  /**
   * Guards against scheduled submissions that never start while the worker list holds an entry of
   * another writer whose capacity is not a whole number.
   */
  @Test
  void scheduledSubmissionStartsBesideAnInvalidWorkerEntry() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 50)) {
      cluster.putForeignEntry(
          "foreign",
          new JsonObject()
              .put("Service", "service-without-queue")
              .put("Address", "127.0.0.1:9")
              .put("State", "ready")
              .put("Capacity", new JsonObject().put("Cpu", Double.MAX_VALUE).put("MemMb", 1_000))
              .put("Labels", new JsonArray().add("a").add("r1")));
      SmallCluster.Instance instance = cluster.start();
      String id = ID_FORMAT.formatted(1);
      cluster.waitUntil(() -> cluster.hasLogged(instance, "unreadable-entry [worker, foreign,"));
      assertThat(cluster.submitScheduled(instance, id, 300).status()).isEqualTo(200);
      cluster.waitUntil(() -> cluster.state(instance, id).equals("completed"));
      assertThat(cluster.starts()).hasSize(1);
    }
  }

  /**
   * Guards against an owner that cannot contact the workers behind an entry of another writer whose
   * id or address cannot stand in a request.
   */
  @Test
  void workersServeBesideEntriesThatCannotBeContacted() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 50)) {
      List<String> texts =
          List.of("a\nb", "a" + (char) 0 + "b", "a b", "ü中", "x".repeat(200), "a..b", "%", "[");
      for (String text : texts) {
        cluster.putForeignEntry(text, foreignEntry("127.0.0.1:9"));
        cluster.putForeignEntry("at " + texts.indexOf(text), foreignEntry(text + ":9"));
      }
      SmallCluster.Instance instance = cluster.start();
      String id = ID_FORMAT.formatted(1);
      cluster.waitUntil(() -> cluster.submit(instance, id, 3).status() == 200);
      cluster.waitUntil(() -> cluster.state(instance, id).equals("completed"));
      assertThat(cluster.starts()).hasSize(3);
    }
  }

  /**
   * Guards against an owner that ends, or stops following the list, since it holds odd entries:
   * deep ones, numbers beyond their range, invalid ports, bytes that are no text.
   */
  @Test
  void workersServeBesideOddEntries() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 50)) {
      SmallCluster.Instance instance = cluster.start();
      List<String> odd =
          List.of(
              "[".repeat(262_000),
              "{\"a\":".repeat(43_000) + "1" + "}".repeat(43_000),
              "{\"Slots\":" + "9".repeat(200_000) + "}",
              "{\"ColdLeftMs\":1e1000000000}",
              foreignEntry("127.0.0.1:65536").encode(),
              foreignEntry("127.0.0.1:0").encode(),
              foreignEntry("127.0.0.1:99999999999").encode(),
              foreignEntry("127.0.0.1:9").put("Slots", Double.MAX_VALUE).encode(),
              "null",
              "[]",
              (char) 0xfeff + foreignEntry("127.0.0.1:9").encode(),
              "ÿ");
      for (int round = 0; round < 3; round++) {
        for (int index = 0; index < odd.size(); index++) {
          cluster.store.put("keyed.servers", "odd-" + index, odd.get(index).getBytes(ISO_8859_1));
        }
      }
      int last = odd.size() - 1;
      cluster.waitUntil(() -> cluster.hasLogged(instance, "unreadable-entry [worker, odd-" + last));
      String id = ID_FORMAT.formatted(1);
      cluster.waitUntil(() -> cluster.submit(instance, id, 3).status() == 200);
      cluster.waitUntil(() -> cluster.state(instance, id).equals("completed"));
      cluster.drain(0, 5_000);
      cluster.waitUntil(() -> cluster.hasLogged(instance, "worker-draining [worker, w0,"));
      assertThat(cluster.starts()).hasSize(3);
      assertThat(cluster.eventsSince(instance.settings().name()))
          .filteredOn(line -> line.contains("unreadable-entry"))
          .hasSize(odd.size());
      assertThat(cluster.eventsSince(instance.settings().name()))
          .noneMatch(line -> line.contains("worker-listed [worker, odd-"));
    }
  }

  /**
   * Guards against a journal that stands still since the roster, filled with entries of another
   * writer, is larger than a record of the store may be.
   */
  @Test
  void submissionsAreAcceptedBesideManyLargeEntries() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 50)) {
      JsonArray labels = new JsonArray();
      for (int index = 0; index < 16; index++) {
        labels.add("x".repeat(255));
      }
      SmallCluster.Instance instance = cluster.start();
      for (int index = 0; index < 80; index++) {
        JsonObject entry = foreignEntry("127.0.0.1:9").put("Labels", labels);
        cluster.putForeignEntry("foreign-" + index, entry);
      }
      cluster.waitUntil(() -> cluster.hasLogged(instance, "worker-listed [worker, foreign-79,"));
      String id = ID_FORMAT.formatted(1);
      cluster.waitUntil(() -> cluster.submit(instance, id, 3).status() == 200);
      cluster.waitUntil(() -> cluster.state(instance, id).equals("completed"));
      assertThat(cluster.starts()).hasSize(3);
    }
  }

  /**
   * Guards against a submission that is accepted into the journal, cannot be written, and keeps all
   * others waiting.
   */
  @Test
  void submissionThatIsTooLargeForTheJournalIsRefusedAndOthersAreAccepted() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 50)) {
      SmallCluster.Instance instance = cluster.start();
      String large = ID_FORMAT.formatted(1);
      assertThat(cluster.submitSteps(instance, large, 60_000).status()).isEqualTo(400);
      assertThat(cluster.state(instance, large)).isEqualTo("410");
      String id = ID_FORMAT.formatted(2);
      assertThat(cluster.submit(instance, id, 3).status()).isEqualTo(200);
      cluster.waitUntil(() -> cluster.state(instance, id).equals("completed"));
    }
  }

  /**
   * Guards against requests that fail on their way to the owner and keep all later ones waiting.
   */
  @Test
  void submissionsAreAcceptedAfterManyWithNullField() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 50)) {
      cluster.linkMegabits = 1;
      SmallCluster.Instance owner = cluster.start();
      SmallCluster.Instance other = cluster.start();
      cluster.waitUntil(() -> cluster.hasLogged(other, "owner-linked"));
      Set<Integer> statuses = new HashSet<>();
      for (int index = 8; index < 16; index++) {
        String id = ID_FORMAT.formatted(index);
        SmallCluster.Instance instance = index < 12 ? other : owner;
        statuses.add(cluster.submitNullLabel(instance, id, 1_000).status());
      }
      for (SmallCluster.Instance instance : List.of(owner, other)) {
        String id = ID_FORMAT.formatted(cluster.instances.indexOf(instance));
        assertThat(cluster.submit(instance, id, 3).status())
            .as("after %s", statuses)
            .isEqualTo(200);
        cluster.waitUntil(() -> cluster.state(instance, id).equals("completed"));
      }
      assertThat(statuses).containsExactly(400);
    }
  }

  private static JsonObject foreignEntry(String address) {
    return new JsonObject()
        .put("Service", "service")
        .put("Address", address)
        .put("State", "ready")
        .put("Capacity", new JsonObject().put("Cpu", 1_000).put("MemMb", 1_000))
        .put("Labels", new JsonArray().add("a").add("r1"));
  }

  /**
   * Guards against an owner whose start orders fill its slow link: other instances relay them, also
   * those of a submission that the owner accepted itself.
   */
  @Test
  void ownerOnSlowLinkHasItsOrdersRelayed() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 20)) {
      cluster.linkMegabits = 0.1;
      SmallCluster.Instance owner = cluster.start();
      SmallCluster.Instance other = cluster.start();
      String forwarded = ID_FORMAT.formatted(1);
      String own = ID_FORMAT.formatted(2);
      cluster.waitUntil(() -> cluster.hasLogged(other, "owner-linked"));
      assertThat(cluster.submit(other, forwarded, 8).status()).isEqualTo(200);
      assertThat(cluster.submit(owner, own, 8).status()).isEqualTo(200);
      cluster.waitUntil(() -> cluster.state(owner, forwarded).equals("completed"));
      cluster.waitUntil(() -> cluster.state(other, own).equals("completed"));
      assertThat(cluster.hasLogged(owner, "order-relaying-started")).isTrue();
      assertThat(cluster.hasLogged(other, "order-not-relayed")).isFalse();
      assertThat(cluster.starts()).hasSize(16).doesNotHaveDuplicates();
    }
  }

  /** Guards against tasks that are lost or run twice when the relay of their orders is killed. */
  @Test
  void ordersReachTheWorkersWhenTheirRelayIsKilled() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 20)) {
      cluster.linkMegabits = 0.1;
      final SmallCluster.Instance owner = cluster.start();
      SmallCluster.Instance other = cluster.start();
      cluster.waitUntil(() -> cluster.hasLogged(other, "owner-linked"));
      String before = ID_FORMAT.formatted(1);
      assertThat(cluster.submit(other, before, 20).status()).isEqualTo(200);
      cluster.kill(other);
      String after = ID_FORMAT.formatted(2);
      assertThat(cluster.submit(owner, after, 8).status()).isEqualTo(200);
      cluster.waitUntil(() -> cluster.state(owner, before).equals("completed"));
      cluster.waitUntil(() -> cluster.state(owner, after).equals("completed"));
      assertThat(cluster.starts()).hasSize(28).doesNotHaveDuplicates();
    }
  }

  /**
   * Guards against a wrong answer to the caller when the store executes an append and its reply is
   * lost. The append is retried with the same sequence number, and the submission is accepted once.
   */
  @Test
  void lostStoreReplyIsResolvedByRetry() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      SmallCluster.Instance instance = cluster.start();
      cluster.storeServer.gate().plan(FaultPlan.once("append", Fault.RESET_AFTER_EFFECT));
      String id = ID_FORMAT.formatted(4);
      assertThat(cluster.submit(instance, id, 1).status()).isEqualTo(200);
      cluster.waitUntil(() -> cluster.state(instance, id).equals("completed"));
      assertThat(cluster.starts()).hasSize(1);
    }
  }

  /**
   * Guards against lost or doubled records when the store loses replies of appends, before and
   * after their effect, while several appends are pending. Each caller gets its acceptance, each
   * task runs once, and every record reaches the journal.
   */
  @Test
  void concurrentAppendsSurviveLostReplies() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 20)) {
      SmallCluster.Instance instance = cluster.start();
      Fault[] faults = {Fault.RESET_AFTER_EFFECT, Fault.UNAVAILABLE, Fault.RESET_BEFORE_EFFECT};
      for (int index = 0; index < 12; index++) {
        cluster.storeServer.gate().plan(FaultPlan.once("append", faults[index % faults.length]));
        assertThat(cluster.submit(instance, "a%015x".formatted(index), 2).status()).isEqualTo(200);
      }
      for (int index = 0; index < 12; index++) {
        String id = "a%015x".formatted(index);
        cluster.waitUntil(() -> cluster.state(instance, id).equals("completed"));
      }
      assertThat(cluster.starts()).hasSize(24).doesNotHaveDuplicates();
    }
  }

  /**
   * Guards against a false "unknown" from an owner that has lost the store. A successor may have
   * taken over and accepted submissions, so the owner must not report a submission that it does not
   * know as nonexistent.
   */
  @Test
  void ownerWithoutProofDoesNotReportSubmissionAsUnknown() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      SmallCluster.Instance instance = cluster.start();
      String id = ID_FORMAT.formatted(10);
      assertThat(cluster.state(instance, id)).isEqualTo("410");
      cluster.storeServer.gate().plan(FaultPlan.always("append", Fault.UNAVAILABLE));
      cluster.waitUntil(() -> cluster.state(instance, id).equals("503"));
    }
  }

  @Test
  void revokedKeyIsRefusedAndUnknownQueueIsNotFound() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      SmallCluster.Instance instance = cluster.start();
      assertThat(cluster.submit(instance, ID_FORMAT.formatted(5), 1).status()).isEqualTo(200);
      cluster.configure("another-key");
      cluster.waitUntil(() -> cluster.submit(instance, ID_FORMAT.formatted(6), 1).status() == 401);
      assertThat(
              cluster.call(instance.settings().front(), HttpMethod.GET, "/nowhere/", null).status())
          .isEqualTo(404);
    }
  }

  /**
   * Guards against callers that are refused by an instance that the store turns away, although the
   * owner could tell it which keys are valid, and against withdrawn keys that stay valid there.
   */
  @Test
  void instanceWithoutStoreChecksKeysByTheOwnersConfiguration() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      final SmallCluster.Instance owner = cluster.start();
      StoreServer otherServer = cluster.useOtherStoreServer();
      SmallCluster.Instance other = cluster.startWithoutOwner(Strength.UNKNOWN);
      cluster.waitUntil(() -> cluster.submit(other, ID_FORMAT.formatted(1), 1).status() == 200);
      otherServer.gate().plan(FaultPlan.always("", Fault.UNAVAILABLE));
      cluster.configure("another-key");
      cluster.waitUntil(() -> cluster.submit(other, ID_FORMAT.formatted(2), 1).status() == 401);
      cluster.configure(SmallCluster.KEY);
      cluster.waitUntil(() -> cluster.submit(other, ID_FORMAT.formatted(3), 1).status() == 200);
      cluster.waitUntil(() -> cluster.state(owner, ID_FORMAT.formatted(3)).equals("completed"));
    }
  }

  /**
   * Guards against callers that are refused because an instance that the store turns away, like the
   * owner, does not learn who took the cell over.
   */
  @Test
  void instanceWithoutStoreFollowsTheCellToTheNextOwner() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      final StoreServer serverOfOwner = cluster.useOtherStoreServer();
      final SmallCluster.Instance owner = cluster.start();
      StoreServer serverOfOther = cluster.useOtherStoreServer();
      SmallCluster.Instance other = cluster.start();
      cluster.useFirstStoreServer();
      final SmallCluster.Instance successor = cluster.start();
      assertThat(cluster.submit(other, ID_FORMAT.formatted(1), 1).status()).isEqualTo(200);
      serverOfOther.gate().plan(FaultPlan.always("", Fault.UNAVAILABLE));
      cluster.waitUntil(() -> cluster.hasLogged(other, "store-lost"));
      serverOfOwner.gate().plan(FaultPlan.always("", Fault.UNAVAILABLE));
      cluster.waitUntil(() -> cluster.hasLogged(successor, "owner-gained"));
      cluster.waitUntil(() -> cluster.submit(other, ID_FORMAT.formatted(2), 1).status() == 200);
      cluster.waitUntil(() -> cluster.submit(owner, ID_FORMAT.formatted(3), 1).status() == 200);
      cluster.waitUntil(() -> cluster.state(other, ID_FORMAT.formatted(3)).equals("completed"));
    }
  }

  /**
   * Guards against an owner without the store that first asks another instance without the store to
   * take the cell over, and waits for its answer in vain.
   */
  @Test
  void cellIsHandedToAnInstanceThatTheStoreAnswers() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      StoreServer faultyServer = cluster.useOtherStoreServer();
      final SmallCluster.Instance owner = cluster.start();
      final SmallCluster.Instance strongest = cluster.start(Strength.of(1.5, 140));
      cluster.useFirstStoreServer();
      final SmallCluster.Instance successor = cluster.start(Strength.of(1.4, 140));
      cluster.waitUntil(() -> cluster.submit(owner, ID_FORMAT.formatted(1), 1).status() == 200);
      faultyServer.gate().plan(FaultPlan.always("", Fault.SILENT_BEFORE_EFFECT));
      cluster.waitUntil(() -> cluster.hasLogged(successor, "owner-gained"));
      assertThat(cluster.hasLogged(strongest, "the owner asked for it")).isFalse();
    }
  }

  /**
   * The store discards the history of the operator's and the workers' records while the instances
   * read it. The instances restart from the newest record of each key and continue to serve.
   */
  @Test
  void instancesKeepServingAfterHistoryIsDiscarded() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      SmallCluster.Instance instance = cluster.start();
      cluster.store.forgetHistory();
      cluster.configure(SmallCluster.KEY);
      String id = ID_FORMAT.formatted(7);
      cluster.waitUntil(() -> cluster.submit(instance, id, 1).status() == 200);
      cluster.waitUntil(() -> cluster.state(instance, id).equals("completed"));
    }
  }

  @Test
  void cancelledSubmissionStopsAndStaysCancelled() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 60_000)) {
      SmallCluster.Instance instance = cluster.start();
      String id = ID_FORMAT.formatted(8);
      assertThat(cluster.submit(instance, id, 1).status()).isEqualTo(200);
      cluster.waitUntil(() -> cluster.starts().size() == 1);
      assertThat(
              cluster
                  .call(
                      instance.settings().front(),
                      HttpMethod.DELETE,
                      SmallCluster.PREFIX + id,
                      null)
                  .status())
          .isEqualTo(200);
      assertThat(cluster.state(instance, id)).isEqualTo("cancelled");
      assertThat(cluster.starts()).hasSize(1);
    }
  }

  /**
   * Guards against an acknowledged cancellation of a submission that lies in an append, and is
   * accepted and started when the append succeeds.
   */
  @Test
  void cancellationHoldsForSubmissionThatIsBeingWritten() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 50)) {
      SmallCluster.Instance instance = cluster.start();
      String id = ID_FORMAT.formatted(1);
      cluster.storeServer.gate().plan(new FaultPlan("append", Fault.NONE, -1, 500));
      final Future<HttpReply> submitted = cluster.submitAsync(instance, id, 1);
      cluster.waitUntil(() -> cluster.explain(instance, id).contains("in an append"));
      assertThat(cluster.cancel(instance, id).status()).isIn(200, 410);
      cluster.storeServer.gate().plan(FaultPlan.NONE);
      assertThat(SmallCluster.await(submitted).status()).isEqualTo(200);
      cluster.waitUntil(() -> ENDED.contains(cluster.state(instance, id)));
      assertThat(cluster.state(instance, id)).isEqualTo("cancelled");
      assertThat(cluster.starts()).isEmpty();
    }
  }

  /**
   * Guards against a submission that starts after a restart of all instances, though its
   * cancellation was acknowledged just before: one whose append the store carries out late, and one
   * whose request comes after the restart.
   */
  @Test
  void cancellationHoldsOverRestartOfAllInstances() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 50)) {
      SmallCluster.Instance owner = cluster.start();
      String late = ID_FORMAT.formatted(1);
      String written = ID_FORMAT.formatted(2);
      assertThat(cluster.cancel(owner, late).status()).isEqualTo(410);
      cluster.storeServer.gate().plan(new FaultPlan("append", Fault.NONE, -1, 500));
      cluster.submitAsync(owner, written, 1);
      cluster.waitUntil(() -> cluster.explain(owner, written).contains("in an append"));
      assertThat(cluster.cancel(owner, written).status()).isIn(200, 410);
      cluster.kill(owner);
      cluster.storeServer.gate().plan(FaultPlan.NONE);
      SmallCluster.Instance restarted = cluster.startWithoutOwner(Strength.UNKNOWN);
      for (String id : List.of(late, written)) {
        cluster.waitUntil(() -> cluster.submit(restarted, id, 1).status() == 200);
        cluster.waitUntil(() -> ENDED.contains(cluster.state(restarted, id)));
        assertThat(cluster.state(restarted, id)).isEqualTo("cancelled");
      }
      assertThat(cluster.starts()).isEmpty();
    }
  }

  /**
   * Guards against a submission that starts although its cancellation was acknowledged before it
   * reached the owner, also when that owner is lost in between.
   */
  @Test
  void cancellationHoldsForSubmissionThatArrivesLater() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 50)) {
      SmallCluster.Instance owner = cluster.start();
      final SmallCluster.Instance other = cluster.start();
      String first = ID_FORMAT.formatted(1);
      String second = ID_FORMAT.formatted(2);
      assertThat(cluster.cancel(owner, first).status()).isEqualTo(410);
      assertThat(cluster.cancel(other, second).status()).isEqualTo(410);
      assertThat(cluster.state(owner, first)).isEqualTo("410");
      assertThat(cluster.submit(other, first, 1).status()).isEqualTo(200);
      cluster.kill(owner);
      cluster.waitUntil(() -> cluster.submit(other, second, 1).status() == 200);
      for (String id : List.of(first, second)) {
        cluster.waitUntil(() -> ENDED.contains(cluster.state(other, id)));
        assertThat(cluster.state(other, id)).isEqualTo("cancelled");
      }
      assertThat(cluster.starts()).isEmpty();
    }
  }

  /**
   * The owner shuts down, as on SIGTERM, while callers are connected. It tells them with its
   * responses to reconnect elsewhere and hands the cell over at once, and the other instance
   * continues the running tasks.
   */
  @Test
  void stoppingOwnerHandsOverAndDrainsCallers() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 1_000)) {
      SmallCluster.Instance owner = cluster.start();
      final SmallCluster.Instance other = cluster.start();
      String id = ID_FORMAT.formatted(11);
      cluster.submit(owner, id, 2);
      cluster.waitUntil(() -> cluster.starts().size() == 2);
      SmallCluster.await(
          owner.node().leave(owner.node().controlContext(), System.nanoTime() + 3_000_000_000L));
      assertThat(cluster.ready(owner)).isFalse();
      cluster.waitUntil(() -> cluster.state(owner, id).equals("completed"));
      assertThat(cluster.state(other, id)).isEqualTo("completed");
      assertThat(cluster.starts()).hasSize(2).doesNotHaveDuplicates();
      assertThat(cluster.events).anyMatch(event -> event.contains("the owner asked for it"));
    }
  }

  @Test
  void anyInstanceExplainsSubmissionToOperator() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 60_000)) {
      SmallCluster.Instance first = cluster.start();
      SmallCluster.Instance second = cluster.start();
      String id = ID_FORMAT.formatted(12);
      cluster.submit(first, id, 20);
      cluster.waitUntil(() -> cluster.starts().size() == 16);
      String explanation = SmallCluster.await(second.node().explain(id));
      assertThat(explanation)
          .contains("0 of 20 done")
          .contains("on w0")
          .contains("waits for room: 0");
      assertThat(SmallCluster.await(second.node().explain("nobody"))).contains("is not known");
    }
  }

  /**
   * Guards against a refusal of a submission that runs all the same: one that is refused for lack
   * of room is not known afterwards, and an accepted one is acknowledged again in the full cell.
   */
  @Test
  void submissionThatCannotBeDoneInTimeIsRefusedAndNotKnown() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 200)) {
      SmallCluster.Instance first = cluster.start();
      SmallCluster.Instance second = cluster.start();
      String warmUp = ID_FORMAT.formatted(0);
      cluster.submit(first, warmUp, 16);
      cluster.waitUntil(() -> cluster.state(first, warmUp).equals("completed"));
      AtomicInteger submitted = new AtomicInteger();
      String format = "6d1f8b32e05c%04x";
      cluster.waitUntil(
          () ->
              cluster.submit(second, format.formatted(submitted.incrementAndGet()), 200).status()
                  == 503);
      assertThat(cluster.hasLogged(first, "estimate_ms")).isTrue();
      String refused = format.formatted(submitted.get());
      String accepted = format.formatted(submitted.get() - 1);
      assertThat(cluster.state(first, refused)).isEqualTo("410");
      assertThat(cluster.submit(second, accepted, 200).status()).isEqualTo(200);
    }
  }

  @Test
  void invalidInputIsReportedWithAllowedRange() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      SmallCluster.Instance instance = cluster.start();
      assertThat(cluster.submit(instance, "no-id", 1).body().toString())
          .contains("no-id")
          .contains("16 hexadecimal digits");
      assertThat(cluster.submit(instance, ID_FORMAT.formatted(9), -1).body().toString())
          .contains("-1")
          .contains("1 to 100000");
    }
  }

  /**
   * Guards against an outage when the owner's machine hangs: its connections stay open but are
   * neither refused nor answered, and it stays the group's member for the partition for a minute. A
   * submission is still accepted, since the other instance receives no heartbeat from the owner and
   * finds no recent record of it in the journal.
   */
  @Test
  void unresponsiveOwnerIsReplaced() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      cluster.installUnresponsiveOwner();
      SmallCluster.Instance instance = cluster.startWithoutOwner(Strength.UNKNOWN);
      String id = ID_FORMAT.formatted(12);
      assertThat(cluster.submit(instance, id, 1).status()).as("%s", cluster.events).isEqualTo(200);
      assertThat(cluster.hasLogged(instance, "owner-suspected")).isTrue();
      cluster.waitUntil(() -> cluster.state(instance, id).equals("completed"));
    }
  }

  /** Failure: an owner that reads the journal after a restart gets all requests again and again. */
  @Test
  void ownerThatDeniesItsOwnershipIsSentNoRequestTwice() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      AtomicInteger submissions = cluster.installDenyingOwner();
      SmallCluster.Instance instance = cluster.startWithoutOwner(Strength.UNKNOWN);
      cluster.submit(instance, ID_FORMAT.formatted(13), 1);
      assertThat(cluster.submit(instance, ID_FORMAT.formatted(14), 1).status()).isEqualTo(503);
      assertThat(submissions.get()).as("%s", cluster.events).isEqualTo(1);
    }
  }

  /**
   * Guards against requests that are read but never answered. A caller keeps its connection open
   * during a graceful shutdown and sends its next request just as the process exits. The exit took
   * up to 0.3 s with all connections open: the logs showed requests read 2 to 22 ms after
   * "stopped", with "busy" true, and the process was gone before it answered. The connection is now
   * closed before the exit, so the request is not read, and the caller knows at once that it may
   * send it elsewhere.
   */
  @Test
  void keptAliveConnectionIsClosedBeforeProcessExits() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      SmallCluster.Instance instance = cluster.start();
      NetSocket caller = cluster.connect(instance.settings().front());
      Promise<Void> closed = Promise.promise();
      Promise<Void> answered = Promise.promise();
      caller.closeHandler(closed::complete);
      caller.handler(bytes -> answered.tryComplete());
      caller.write("GET /nowhere/ HTTP/1.1\r\nHost: nowhere\r\n\r\n");
      SmallCluster.await(answered.future());
      SmallCluster.await(
          instance.node().leave(instance.node().controlContext(), System.nanoTime()));
      assertThat(instance.node().hasConnections()).isTrue();
      SmallCluster.await(instance.node().closeFront());
      SmallCluster.await(closed.future());
      cluster.waitUntil(() -> !instance.node().hasConnections());
    }
  }

  /**
   * Guards against callers that wait for a slow owner. The owner's machine becomes five times
   * slower but still answers; since it was not lost, nobody took over until the load of a neighbour
   * on the machine had ended. The owner hands the cell over to the fast instance; an instance as
   * slow as the owner would bring no gain and is not asked.
   */
  @Test
  void slowedOwnerHandsOverToFasterInstance() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      final SmallCluster.Instance owner = cluster.start();
      final AtomicLong ownerWorkNanos = cluster.latestWorkNanos;
      final SmallCluster.Instance fast = cluster.start();
      cluster.workNanos = 60_000;
      final SmallCluster.Instance slow = cluster.start();
      long startNanos = System.nanoTime();
      // The usual speed is the median of half a minute of samples; a few seconds are the minimum.
      cluster.waitUntil(() -> System.nanoTime() - startNanos > TimeUnit.SECONDS.toNanos(5));
      ownerWorkNanos.set(100_000);
      cluster.waitUntil(() -> cluster.hasLogged(fast, "owner-gained"));
      cluster.waitUntil(() -> cluster.hasLogged(owner, "owner-lost"));
      assertThat(cluster.hasLogged(slow, "taking-over")).isFalse();
      String id = ID_FORMAT.formatted(13);
      assertThat(cluster.submit(owner, id, 1).status()).isEqualTo(200);
      cluster.waitUntil(() -> cluster.state(owner, id).equals("completed"));
    }
  }

  /**
   * Guards against a cell without an owner after an unannounced claim. An instance claims the cell,
   * and its process exits before it announces that. The journal names it as the owner and the
   * directory its predecessor, so each other instance found out only by a failed takeover of its
   * own, one after another for four seconds. The first instance that finds out now announces the
   * claim to all, including the named instance, which has restarted and takes the cell over again.
   */
  @Test
  void unannouncedClaimIsAnnouncedByInstanceThatFindsIt() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      final SmallCluster.Instance owner = cluster.start();
      SmallCluster.Instance named = cluster.start();
      cluster.claimFor(named, 2);
      cluster.waitUntil(() -> cluster.hasLogged(owner, "owner-lost"));
      cluster.waitUntil(() -> cluster.hasLogged(named, "owner-gained"));
      String id = ID_FORMAT.formatted(14);
      cluster.waitUntil(() -> cluster.submit(owner, id, 1).status() == 200);
      cluster.waitUntil(() -> cluster.state(named, id).equals("completed"));
    }
  }

  /**
   * Guards against a late restart of a persistent task: a successor waited 9.87 s from its own
   * takeover for a worker that had left before the takeover.
   */
  @Test
  void persistentTaskOfRemovedWorkerRestartsAfterPlannedHandover() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 60_000)) {
      final SmallCluster.Instance owner = cluster.start();
      final SmallCluster.Instance successor = cluster.start();
      assertThat(cluster.submitPersistent(owner, ID_FORMAT.formatted(15)).status()).isEqualTo(200);
      cluster.waitUntil(() -> cluster.starts().size() == 1);
      int departing = cluster.workers.get(0).history().isEmpty() ? 1 : 0;
      cluster.drain(departing, 6_000);
      cluster.waitUntil(() -> cluster.hasLogged(owner, "worker-draining"));
      cluster.removeWorker(departing);
      cluster.waitUntil(() -> cluster.hasLogged(owner, "worker-silent"));
      cluster.leave(owner, TimeUnit.MINUTES.toMillis(1));
      cluster.waitUntil(() -> cluster.hasLogged(successor, "owner-gained"));
      cluster.deleteWorkerEntry(departing);
      cluster.waitUntil(() -> cluster.starts().size() == 2);
      assertThat(cluster.workers.get(1 - departing).history()).hasSize(1);
      assertThat(cluster.loggedWorkerWaitsMillis(successor, "w" + departing))
          .allMatch(left -> MIN_LOGGED_WAIT_MILLIS + left <= MAX_PERSISTENT_RESTART_MILLIS);
    }
  }

  /**
   * Guards against exceeding a customer's limit: an owner that had not read the configuration yet
   * treated a customer with a limit as one without.
   */
  @Test
  void ownerWithoutConfigurationStartsNothing() throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 60_000)) {
      SmallCluster.Instance first = cluster.start();
      cluster.limitToOneProcessor();
      cluster.waitUntil(() -> cluster.hasLogged(first, "version-in-force [version, 6"));
      assertThat(cluster.submit(first, ID_FORMAT.formatted(1), 4).status()).isEqualTo(200);
      cluster.waitUntil(() -> cluster.starts().size() == 1);
      cluster.hideConfiguration();
      NodeSettings settings = cluster.settings(Strength.UNKNOWN);
      SmallCluster.await(cluster.vertx.deployVerticle(cluster.newNode(settings)));
      cluster.kill(first);
      String successor = settings.name();
      cluster.waitUntil(
          () ->
              cluster.starts().size() > 1
                  || cluster.eventsSince(successor + " owner owner-gained").stream()
                      .anyMatch(event -> event.startsWith(successor + " run step-waits")));
      assertThat(cluster.starts()).hasSize(1);
    }
  }
}
