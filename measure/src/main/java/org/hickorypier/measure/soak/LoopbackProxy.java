package org.hickorypier.measure.soak;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.hickorypier.platform.http.ServiceAddress;

/**
 * Stands between two parts on loopback and delays, silences, cuts one way or resets.
 *
 * <p>A connection that was silent once stays so, as one does that a middlebox has forgotten; new
 * connections work again when the mode is back. Thread safe.
 */
final class LoopbackProxy {

  private static final String LOOPBACK = "127.0.0.1";

  /** Well above an answer's usual time, below the patience of all callers. */
  private static final long DELAY_MILLIS = 120;

  private final Vertx vertx;
  private final NetClient client;
  private final NetServer server;
  private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
  private volatile ServiceAddress target;
  private volatile ProxyMode mode = ProxyMode.PASS;

  LoopbackProxy(Vertx vertx) {
    this.vertx = vertx;
    this.client = vertx.createNetClient();
    this.server = vertx.createNetServer().connectHandler(this::accept);
  }

  Future<ServiceAddress> listen() {
    return server
        .listen(0, LOOPBACK)
        .map(listening -> new ServiceAddress(LOOPBACK, listening.actualPort()));
  }

  void target(ServiceAddress newTarget) {
    target = newTarget;
  }

  void mode(ProxyMode newMode) {
    mode = newMode;
    for (Channel channel : channels) {
      channel.strike(newMode);
    }
  }

  void resetAll() {
    channels.forEach(Channel::close);
  }

  private void accept(NetSocket near) {
    if (mode == ProxyMode.REFUSE || target == null) {
      near.close();
      return;
    }
    near.pause();
    client
        .connect(target.port(), target.host())
        .onSuccess(
            far -> {
              Channel channel = new Channel(near, far);
              channels.add(channel);
              channel.strike(mode);
              near.resume();
            })
        .onFailure(error -> near.close());
  }

  /** One connection through the proxy. */
  private final class Channel {

    private final NetSocket near;
    private final NetSocket far;
    private volatile boolean requestsLost;
    private volatile boolean answersLost;

    Channel(NetSocket near, NetSocket far) {
      this.near = near;
      this.far = far;
      near.handler(pass(far, () -> requestsLost));
      far.handler(pass(near, () -> answersLost));
      near.closeHandler(none -> close());
      far.closeHandler(none -> close());
      near.exceptionHandler(error -> close());
      far.exceptionHandler(error -> close());
    }

    private Handler<Buffer> pass(NetSocket to, BooleanSupplier lost) {
      List<Buffer> late = new ArrayList<>();
      return bytes -> {
        if (lost.getAsBoolean()) {
          return;
        }
        if (mode == ProxyMode.DELAY || !late.isEmpty()) {
          late.add(bytes);
          vertx.setTimer(
              DELAY_MILLIS,
              id -> {
                Buffer next = late.remove(0);
                if (!lost.getAsBoolean()) {
                  to.write(next);
                }
              });
        } else {
          to.write(bytes);
        }
      };
    }

    void strike(ProxyMode newMode) {
      if (newMode == ProxyMode.REFUSE) {
        close();
      } else if (newMode == ProxyMode.SILENT) {
        requestsLost = true;
        answersLost = true;
      } else if (newMode == ProxyMode.LOSE_ANSWERS) {
        answersLost = true;
      }
    }

    void close() {
      channels.remove(this);
      near.close();
      far.close();
    }
  }
}
