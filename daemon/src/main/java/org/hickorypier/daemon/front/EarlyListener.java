package org.hickorypier.daemon.front;

import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.atomic.AtomicReference;
import org.hickorypier.platform.http.ServiceAddress;

/**
 * Listens on the callers' address while the process still starts, so that connections wait instead
 * of being refused. A restart of all instances takes weak machines more than a second, in which
 * callers use up all their attempts.
 *
 * <p>Invariant: the listening socket is passed on once, to the first server that listens, which has
 * to be the front server. Thread-safe.
 */
public final class EarlyListener {

  private final AtomicReference<ServerSocketChannel> channel;

  private EarlyListener(ServerSocketChannel channel) {
    this.channel = new AtomicReference<>(channel);
  }

  /**
   * Starts to listen.
   *
   * @param address the callers' address
   * @return the listener
   * @throws IOException if the address cannot be used
   */
  public static EarlyListener open(ServiceAddress address) throws IOException {
    ServerSocketChannel opened = ServerSocketChannel.open();
    try {
      opened.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      opened.bind(
          new InetSocketAddress(address.host(), address.port()), FrontServer.ACCEPT_BACKLOG);
    } catch (IOException error) {
      opened.close();
      throw error;
    }
    return new EarlyListener(opened);
  }

  /**
   * Returns a transport that passes the listening socket on to the first server.
   *
   * @return the transport
   */
  public Transport transport() {
    return new Transport() {
      @Override
      public String name() {
        return Transport.NIO.name();
      }

      @Override
      public boolean available() {
        return true;
      }

      @Override
      public Throwable unavailabilityCause() {
        return null;
      }

      @Override
      public io.vertx.core.spi.transport.Transport implementation() {
        return new NioTransport() {
          @Override
          public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domain) {
            ServerSocketChannel listening = domain ? null : channel.getAndSet(null);
            return listening == null
                ? super.serverChannelFactory(domain)
                : () -> new ListeningChannel(listening);
          }
        };
      }
    };
  }

  /** A server channel whose socket listens already. */
  private static final class ListeningChannel extends NioServerSocketChannel {

    private volatile boolean bound;

    ListeningChannel(ServerSocketChannel listening) {
      super(listening);
    }

    /** Returns false before the server has asked for its address, so that nothing is accepted. */
    @Override
    public boolean isActive() {
      return bound && super.isActive();
    }

    @Override
    protected void doBind(SocketAddress address) throws Exception {
      SocketAddress listening = javaChannel().getLocalAddress();
      if (!address.equals(listening)) {
        throw new IOException("the first server listens on " + address + ", not on " + listening);
      }
      bound = true;
    }
  }
}
