package org.hickorypier.daemon.peer;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;

/** A socket in memory: keeps what was written, and whether it is paused. Not thread safe. */
final class FakeSocket {

  final List<byte[]> written = new ArrayList<>();
  final NetSocket socket;
  boolean paused;
  private Handler<Buffer> reader;

  FakeSocket() {
    socket =
        (NetSocket)
            Proxy.newProxyInstance(
                NetSocket.class.getClassLoader(),
                new Class<?>[] {NetSocket.class},
                (proxy, method, arguments) -> answer(proxy, method.getName(), arguments));
  }

  /** Delivers bytes to the connection under test. */
  void deliver(byte[] bytes) {
    reader.handle(Buffer.buffer(bytes));
  }

  @SuppressWarnings("unchecked")
  private Object answer(Object proxy, String method, Object[] arguments) {
    switch (method) {
      case "handler":
        reader = (Handler<Buffer>) arguments[0];
        return proxy;
      case "pause":
      case "resume":
        paused = method.equals("pause");
        return proxy;
      case "close":
        return Future.succeededFuture();
      case "remoteAddress":
        return SocketAddress.inetSocketAddress(1, "127.0.0.1");
      case "write":
        written.add(((Buffer) arguments[0]).getBytes());
        return Future.succeededFuture();
      case "writeQueueFull":
        return false;
      default:
        return proxy;
    }
  }
}
