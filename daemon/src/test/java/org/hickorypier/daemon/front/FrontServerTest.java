package org.hickorypier.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hickorypier.platform.http.HttpCalls;
import org.hickorypier.platform.http.HttpReply;
import org.hickorypier.platform.http.ServiceAddress;
import org.junit.jupiter.api.Test;

class FrontServerTest {

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  /**
   * A caller's first request was reset. The balancer had asked the instance, which said that it was
   * ready while its front did not listen yet. Here the front can never listen, since its port is
   * taken; so the balancer must get no answer.
   */
  @Test
  void balancerIsNotAnsweredBeforeTheFrontListens() throws Exception {
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
      assertThat(await(ask(vertx, readiness)).status()).isZero();
    } finally {
      await(vertx.close());
    }
  }

  private static Future<HttpReply> ask(Vertx vertx, ServiceAddress readiness) {
    return new HttpCalls(vertx, 1)
        .call(readiness, HttpMethod.GET, "/hickorypier/ready", Map.of(), null, 2_000)
        .otherwise(new HttpReply(0, Buffer.buffer()));
  }
}
