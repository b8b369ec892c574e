package org.hickorypier.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.standins.http.LoopbackPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EarlyListenerTest {

  private static final int TIMEOUT_MILLIS = 20_000;

  private ServiceAddress address;
  private Vertx vertx;

  @BeforeEach
  void listen() throws IOException {
    address =
        new ServiceAddress(InetAddress.getLoopbackAddress().getHostAddress(), LoopbackPort.free());
    vertx = Vertx.builder().withTransport(EarlyListener.open(address).transport()).build();
  }

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  private Future<HttpServer> serve(int port, String text) {
    return vertx
        .createHttpServer()
        .requestHandler(request -> request.response().end(text))
        .listen(port, address.host());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future
        .toCompletionStage()
        .toCompletableFuture()
        .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private Socket sendRequest(int port) throws IOException {
    Socket socket = new Socket(address.host(), port);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket
        .getOutputStream()
        .write(
            "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static String answer(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }

  /** Guards against callers whose connections are refused while the process starts. */
  @Test
  void requestSentBeforeTheServerStartsIsAnswered() throws Exception {
    try (Socket early = sendRequest(address.port())) {
      await(serve(address.port(), "front"));
      assertThat(answer(early)).startsWith("HTTP/1.1 200").endsWith("front");
    }
    try (Socket later = sendRequest(address.port())) {
      assertThat(answer(later)).endsWith("front");
    }
  }

  @Test
  void laterServersListenOnTheirOwnAddresses() throws Exception {
    await(serve(address.port(), "front"));
    int port = await(serve(0, "other")).actualPort();
    try (Socket socket = sendRequest(port)) {
      assertThat(answer(socket)).endsWith("other");
    }
  }

  /** Guards against a server that serves requests which were sent to another address. */
  @Test
  void firstServerHasToUseTheListeningAddress() throws Exception {
    Future<HttpServer> other = serve(LoopbackPort.free(), "other");
    assertThatThrownBy(() -> await(other))
        .isInstanceOf(ExecutionException.class)
        .hasMessageContaining("the first server listens on");
  }

  @Test
  void usedAddressIsReported() {
    assertThatThrownBy(() -> EarlyListener.open(address)).isInstanceOf(IOException.class);
  }
}
