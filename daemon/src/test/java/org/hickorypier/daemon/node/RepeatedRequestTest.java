package org.hickorypier.daemon.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.net.NetSocket;
import java.util.Iterator;
import java.util.List;
import org.hickorypier.daemon.link.Link;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.link.LinkRequestHandler;
import org.hickorypier.daemon.owner.Strength;
import org.hickorypier.daemon.time.VertxTimerService;
import org.hickorypier.platform.http.TrafficCounter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against refusals of requests that another copy may have got accepted. */
class RepeatedRequestTest {

  private static final String ID = "7d21c0e5a94b3600";
  private static final int FIRST_EPOCH = 6;
  private static final LinkReply REFUSED = new LinkReply.Refused("full", 1_000, FIRST_EPOCH + 1);

  /** Answers submissions as given and proves its ownership. */
  private static Link link(SmallCluster cluster, NetSocket socket, LinkRequestHandler submissions) {
    LinkRequestHandler handler =
        request ->
            request instanceof LinkRequest.Submit
                ? submissions.answer(request)
                : Future.succeededFuture(new LinkReply.Noted());
    return new Link(
        socket,
        handler,
        new VertxTimerService(cluster.vertx, cluster.vertx.getOrCreateContext()),
        new TrafficCounter());
  }

  @ParameterizedTest
  @CsvSource({"-1, 504", "0, 503", "6, 503", "7, 504", "8, 504"})
  void refusalAfterDenialIsTakenByTheEpochThatMayHaveWritten(int epoch, int status)
      throws Exception {
    Iterator<LinkReply> replies = List.of(new LinkReply.NotOwner(epoch), REFUSED).iterator();
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      cluster.installOwner(
          FIRST_EPOCH,
          socket -> link(cluster, socket, request -> Future.succeededFuture(replies.next())));
      SmallCluster.Instance instance = cluster.startWithoutOwner(Strength.UNKNOWN);
      cluster.waitUntil(() -> cluster.hasLogged(instance, "owner-linked"));
      assertThat(cluster.submit(instance, ID, 1).status()).isEqualTo(status);
    }
  }

  @Test
  void refusalIsNotTakenWhileTheFirstCopyIsOnBrokenLink() throws Exception {
    Iterator<Boolean> breaks = List.of(true, false).iterator();
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      cluster.installOwner(
          FIRST_EPOCH,
          socket ->
              link(
                  cluster,
                  socket,
                  request -> {
                    if (breaks.next()) {
                      socket.close();
                    }
                    return Future.succeededFuture(REFUSED);
                  }));
      SmallCluster.Instance instance = cluster.startWithoutOwner(Strength.UNKNOWN);
      cluster.waitUntil(() -> cluster.hasLogged(instance, "owner-linked"));
      assertThat(cluster.submit(instance, ID, 1).status()).isEqualTo(504);
    }
  }

  /**
   * The owner is replaced while it holds a request. The successor's refusal is taken once the
   * former owner has told that it wrote the request under an earlier epoch at most, and its
   * acceptance is taken despite the refusal.
   */
  @ParameterizedTest
  @CsvSource({"true, 200", "false, 503"})
  void replyOfReplacedOwnerDecides(boolean accepted, int status) throws Exception {
    Promise<LinkReply> formerReply = Promise.promise();
    Promise<Void> received = Promise.promise();
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      cluster.installOwner(
          FIRST_EPOCH,
          socket ->
              link(
                  cluster,
                  socket,
                  request -> {
                    received.tryComplete();
                    return formerReply.future();
                  }));
      SmallCluster.Instance instance = cluster.startWithoutOwner(Strength.UNKNOWN);
      cluster.waitUntil(() -> cluster.hasLogged(instance, "owner-linked"));
      NetSocket caller = cluster.connect(instance.settings().front());
      final RawCaller raw = new RawCaller(caller).submit(ID);
      SmallCluster.await(received.future());
      Promise<Void> refused = Promise.promise();
      cluster.installOwner(
          FIRST_EPOCH + 1,
          socket ->
              link(
                  cluster,
                  socket,
                  request -> {
                    refused.tryComplete();
                    return Future.succeededFuture(REFUSED);
                  }));
      SmallCluster.await(refused.future());
      formerReply.complete(
          accepted ? new LinkReply.Accepted() : new LinkReply.NotOwner(FIRST_EPOCH));
      cluster.waitUntil(raw::hasResponse);
      assertThat(raw.responseCount("" + status)).as(raw.receivedText()).isEqualTo(1);
    }
  }

  /**
   * A caller whose first try had no outcome comes back through the same instance. The owner that
   * refuses it need not know of the owner that may have accepted the first try.
   */
  @ParameterizedTest
  @CsvSource({"true, 503", "false, 504"})
  void refusalOfLaterTryTakesTheEarlierOneIntoAccount(boolean answered, int status)
      throws Exception {
    Iterator<Boolean> answers = List.of(answered, true).iterator();
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      cluster.installOwner(
          FIRST_EPOCH,
          socket ->
              link(
                  cluster,
                  socket,
                  request ->
                      answers.next()
                          ? Future.succeededFuture(REFUSED)
                          : Promise.<LinkReply>promise().future()));
      SmallCluster.Instance instance = cluster.startWithoutOwner(Strength.UNKNOWN);
      cluster.waitUntil(() -> cluster.hasLogged(instance, "owner-linked"));
      assertThat(cluster.submit(instance, ID, 1).status()).isEqualTo(status);
      assertThat(cluster.submit(instance, ID, 1).status()).isEqualTo(status);
    }
  }

  /** Guards against an unknown outcome of what no owner has taken when its instance ends. */
  @ParameterizedTest
  @CsvSource({"0, 503", "6, 504"})
  void endingInstanceRefusesWhatWasNeverWritten(int epoch, int status) throws Exception {
    try (SmallCluster cluster = new SmallCluster(1, 20)) {
      Promise<Void> denied = Promise.promise();
      Promise<Void> denialReceived = Promise.promise();
      LinkRequestHandler denial =
          request -> {
            if (request instanceof LinkRequest.Submit) {
              denied.tryComplete();
            } else if (denied.future().isComplete()
                && request instanceof LinkRequest.ProveOwnership) {
              // An instance asks for a proof once it has received a denial.
              denialReceived.tryComplete();
            }
            return Future.succeededFuture(new LinkReply.NotOwner(epoch));
          };
      cluster.installOwner(
          FIRST_EPOCH,
          socket ->
              new Link(
                  socket,
                  denial,
                  new VertxTimerService(cluster.vertx, cluster.vertx.getOrCreateContext()),
                  new TrafficCounter()));
      SmallCluster.Instance instance = cluster.startWithoutOwner(Strength.UNKNOWN);
      cluster.waitUntil(() -> cluster.hasLogged(instance, "owner-linked"));
      RawCaller caller = new RawCaller(cluster.connect(instance.settings().front())).submit(ID);
      SmallCluster.await(denialReceived.future());
      instance.node().closeFront();
      cluster.waitUntil(caller::hasResponse);
      assertThat(caller.responseCount("" + status)).as(caller.receivedText()).isEqualTo(1);
    }
  }
}
