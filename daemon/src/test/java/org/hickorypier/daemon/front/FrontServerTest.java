package org.hickorypier.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorypier.core.cluster.ClusterConfiguration;
import org.hickorypier.core.cluster.QueueRoute;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.daemon.owner.ConfigurationSource;
import org.hickorypier.platform.http.HttpReply;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.standins.http.LoopbackPort;
import org.junit.jupiter.api.Test;

class FrontServerTest {

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  /**
   * Guards against an instance that reports ready before its front listens: the balancer then sends
   * a caller whose first request is reset. The port of the front is taken here, so it never listens
   * and the readiness check has to stay without an answer.
   */
  @Test
  void readinessCheckIsNotAnsweredBeforeTheFrontListens() throws Exception {
    Vertx vertx = Vertx.vertx();
    InetAddress loopback = InetAddress.getLoopbackAddress();
    ServiceAddress readiness;
    try (ServerSocket free = new ServerSocket(0, 1, loopback)) {
      readiness = new ServiceAddress(loopback.getHostAddress(), free.getLocalPort());
    }
    try (ServerSocket taken = new ServerSocket(0, 1, loopback)) {
      FrontServer server =
          new FrontServer(
              vertx,
              vertx.getOrCreateContext(),
              null,
              null,
              () -> true,
              System::currentTimeMillis,
              (part, event, fields) -> {});
      ServiceAddress front = new ServiceAddress(loopback.getHostAddress(), taken.getLocalPort());
      Future<HttpServer> listening = server.listen(front, readiness);
      await(listening.otherwiseEmpty());
      assertThat(listening.failed()).isTrue();
      assertThat(await(checkReadiness(vertx, readiness)).status()).isZero();
    } finally {
      await(vertx.close());
    }
  }

  /**
   * Guards against a caller that gets no answer because sending its request to the owner fails
   * inside the instance and the failure is not handled. A submission is answered with an unknown
   * outcome, a query with a request to retry.
   */
  @Test
  void requestIsAnsweredIfSendingItToTheOwnerFails() throws Exception {
    Vertx vertx = Vertx.vertx();
    try {
      OwnerClient failing =
          (request, timeout) -> {
            throw new IllegalStateException("injected failure");
          };
      ServiceAddress front = startFrontServer(vertx, failing);
      String path = "/queue/5c0e7a21d94b36f1";
      String body = "{\"Spec\":\"text\",\"Phases\":[{\"Count\":1,\"Cpu\":10,\"MemMb\":1}]}";
      Map<String, String> host = Map.of("Host", "queue.example");
      PooledHttpClient calls = new PooledHttpClient(vertx, 1);
      assertThat(
              await(calls.call(front, HttpMethod.POST, path, host, Buffer.buffer(body), 5_000))
                  .status())
          .isEqualTo(504);
      assertThat(await(calls.call(front, HttpMethod.GET, path, host, null, 5_000)).status())
          .isEqualTo(503);
    } finally {
      await(vertx.close());
    }
  }

  /** Starts a front with one public queue and returns its address. */
  private static ServiceAddress startFrontServer(Vertx vertx, OwnerClient owner) throws Exception {
    QueueTerms terms = new QueueTerms("q", "service", 0, 3, 2, 1_000, Optional.empty());
    QueueRoute route = new QueueRoute("queue.example", "/queue/", true, terms);
    ClusterConfiguration configuration = new ClusterConfiguration(1, List.of(route), List.of());
    String host = InetAddress.getLoopbackAddress().getHostAddress();
    ServiceAddress front = new ServiceAddress(host, LoopbackPort.free());
    ServiceAddress readiness = new ServiceAddress(host, LoopbackPort.free());
    Context control = vertx.getOrCreateContext();
    await(
        vertx.deployVerticle(
            new VerticleBase() {
              @Override
              public Future<?> start() {
                return new FrontServer(
                        vertx,
                        control,
                        new FixedConfiguration(configuration),
                        owner,
                        () -> true,
                        System::currentTimeMillis,
                        (part, event, fields) -> {})
                    .listen(front, readiness);
              }
            }));
    return front;
  }

  /** A configuration source whose configuration is always proven to be current. */
  private record FixedConfiguration(ClusterConfiguration current) implements ConfigurationSource {
    @Override
    public boolean isProven() {
      return true;
    }
  }

  private static Future<HttpReply> checkReadiness(Vertx vertx, ServiceAddress readiness) {
    return new PooledHttpClient(vertx, 1)
        .call(readiness, HttpMethod.GET, "/hickorypier/ready", Map.of(), null, 2_000)
        .otherwise(new HttpReply(0, Buffer.buffer()));
  }
}
