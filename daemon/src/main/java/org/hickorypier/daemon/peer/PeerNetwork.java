package org.hickorypier.daemon.peer;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.time.TimerSubscription;
import org.hickorypier.platform.instance.InstanceKind;
import org.hickorypier.platform.instance.ListedInstance;
import org.hickorypier.wire.message.DigestBudget;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Answer;
import org.hickorypier.wire.message.PeerMessage.Request;

/**
 * The links from this instance to all other entry instances.
 *
 * <p>Of each pair, the instance with the lower name dials, so there is one link. Before anything
 * else is read, both sides prove that they know the shared secret; see {@link Handshake}. What
 * happens to requests when a link dies is told in {@link PeerLink}.
 *
 * <p>All state belongs to the control thread. The public methods may be called from any thread;
 * handler, listeners and answers are called on the control thread.
 */
public final class PeerNetwork {

  private static final Logger LOGGER = System.getLogger(PeerNetwork.class.getName());

  /**
   * What is known of an instance that is neither listed nor linked is kept this long: far longer
   * than an instance pauses, so that its repeated requests still find their answers.
   */
  private static final Duration FORGET_AFTER = Duration.ofHours(1);

  private final PeerSettings settings;
  private final TimerService timers;
  private final Executor control;
  private final PeerCounters counters;
  private final PeerRequestHandler handler;
  private final NetServer server;
  private final NetClient client;
  private final SecureRandom nonces = new SecureRandom();
  private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();
  private final Map<String, PeerLink> links = new HashMap<>();
  private final Strangers strangers;
  private final PeerDialer dialer;
  private volatile Set<PeerIdentity> live = Set.of();
  private TimerSubscription ticking = () -> {};
  private long lastCorrelation;
  private boolean closed;

  /**
   * Creates the network; it neither listens nor dials yet.
   *
   * @param vertx carries the sockets
   * @param settings names, secret and limits
   * @param timers the time
   * @param control the control thread
   * @param counters counts the traffic
   * @param handler answers the peers' requests
   */
  public PeerNetwork(
      Vertx vertx,
      PeerSettings settings,
      TimerService timers,
      Executor control,
      PeerCounters counters,
      PeerRequestHandler handler) {
    this.settings = settings;
    this.timers = timers;
    this.control = control;
    this.counters = counters;
    this.handler = handler;
    this.server =
        vertx.createNetServer(
            new NetServerOptions()
                .setHost(settings.host())
                .setPort(settings.port())
                .setTcpNoDelay(true));
    this.client =
        vertx.createNetClient(
            new NetClientOptions()
                .setTcpNoDelay(true)
                .setConnectTimeout((int) Strangers.LIMIT.toMillis()));
    this.strangers = new Strangers(timers);
    this.dialer = new PeerDialer(settings.own(), timers, this::dial);
  }

  /**
   * Starts to listen, and to dial what {@link #instances} names.
   *
   * @return the port that it listens on
   */
  public Uni<Integer> start() {
    server.connectHandler(socket -> open(socket, name -> name.compareTo(ownName()) < 0, () -> {}));
    control.execute(() -> ticking = timers.every(settings.tick(), this::tick));
    return uni(server.listen()).map(NetServer::actualPort);
  }

  /**
   * Ends all links and stops listening. Open requests fail.
   *
   * @return done once the sockets are closed
   */
  public Uni<Void> close() {
    control.execute(
        () -> {
          closed = true;
          ticking.cancel();
          links.values().forEach(PeerLink::shutDown);
          strangers.closeAll();
        });
    return uni(Future.join(server.close(), client.close()).mapEmpty());
  }

  /**
   * Takes in the platform's instance list. A link to an instance that is no longer listed stays as
   * long as it lives: the list lags.
   *
   * @param listed the whole list
   */
  public void instances(List<ListedInstance> listed) {
    Map<String, String> addresses =
        listed.stream()
            .filter(instance -> instance.kind() == InstanceKind.ENTRY)
            .filter(instance -> !instance.name().equals(ownName()))
            .collect(
                Collectors.toMap(
                    ListedInstance::name, ListedInstance::peerAddress, (first, second) -> second));
    control.execute(() -> dialer.addresses(addresses));
  }

  /**
   * Adds a listener. It hears of what happens from now on.
   *
   * @param listener the listener
   */
  public void listen(PeerListener listener) {
    listeners.add(listener);
  }

  /**
   * Returns the peers to which a link stands.
   *
   * @return a copy
   */
  public Set<PeerIdentity> livePeers() {
    return live;
  }

  /**
   * Sends a message that asks for no answer to every linked peer. A digest that a slow peer has not
   * taken yet is replaced by the next one; what digests may cost is told in {@link DigestBudget}.
   *
   * @param message a digest or configuration record
   */
  public void broadcast(PeerMessage message) {
    control.execute(() -> links.values().forEach(link -> link.tell(message)));
  }

  /**
   * Sends a message to one peer, if it is linked. Nothing says whether it arrives.
   *
   * @param instance the peer's name
   * @param message the message
   */
  public void tell(String instance, PeerMessage message) {
    control.execute(
        () -> Optional.ofNullable(links.get(instance)).ifPresent(link -> link.tell(message)));
  }

  /**
   * Asks one instance. The request is sent again on every new link to the same incarnation until it
   * is answered, and the instance acts on it once.
   *
   * @param instance the name of the instance
   * @param request the request, without a correlation
   * @param timeout how long to wait for the answer
   * @return the answer, or a {@link PeerException} that says whether the request may have been
   *     taken
   */
  public Uni<Answer> request(String instance, Request request, Duration timeout) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              AnswerReceiver receiver =
                  new AnswerReceiver() {
                    @Override
                    public void answered(Answer answer) {
                      emitter.complete(answer);
                    }

                    @Override
                    public void failed(PeerException error) {
                      emitter.fail(error);
                    }
                  };
              control.execute(
                  () ->
                      send(instance, request, timeout, receiver)
                          .ifPresent(sent -> emitter.onTermination(() -> leave(instance, sent))));
            });
  }

  private Optional<Request> send(
      String instance, Request request, Duration timeout, AnswerReceiver receiver) {
    PeerLink link = links.get(instance);
    if (link == null || closed) {
      receiver.failed(new PeerException("no link to " + instance, false));
      return Optional.empty();
    }
    return link.request(request, timers.nowMillis() + timeout.toMillis(), receiver);
  }

  private void leave(String instance, Request sent) {
    control.execute(() -> Optional.ofNullable(links.get(instance)).ifPresent(l -> l.leave(sent)));
  }

  private void tick() {
    strangers.tick();
    List.copyOf(links.values()).forEach(PeerLink::tick);
    links
        .entrySet()
        .removeIf(
            entry ->
                !dialer.isListed(entry.getKey())
                    && entry.getValue().isIdle(FORGET_AFTER.toMillis()));
    dialer.dialWhatIsDue(this::isLinked);
  }

  private boolean isLinked(String name) {
    return links.containsKey(name) && links.get(name).peer().isPresent();
  }

  private void dial(String name, String address) {
    SocketAddress target;
    try {
      int colon = address.lastIndexOf(':');
      String host = address.substring(0, colon).replace("[", "").replace("]", "");
      target =
          SocketAddress.inetSocketAddress(Integer.parseInt(address.substring(colon + 1)), host);
    } catch (IndexOutOfBoundsException | IllegalArgumentException error) {
      LOGGER.log(Level.WARNING, "peer: {0} has the unusable address {1}", name, address);
      dialer.ended(name);
      return;
    }
    client
        .connect(target)
        .onSuccess(socket -> open(socket, name::equals, () -> dialer.ended(name)))
        .onFailure(error -> control.execute(() -> dialer.ended(name)));
  }

  private void open(NetSocket socket, Predicate<String> expected, Runnable whenEnded) {
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    nonces.nextBytes(nonce);
    Handshake handshake = new Handshake(settings.secret(), settings.own(), nonce, expected);
    Context context = Vertx.currentContext();
    PeerConnection connection =
        new PeerConnection(
            socket,
            task -> context.runOnContext(ignored -> task.run()),
            handshake,
            counters,
            control,
            new Events(whenEnded));
    connection.start();
  }

  private String ownName() {
    return settings.own().name();
  }

  /** Returns how many connections have not proved themselves yet. Control thread only. */
  int strangerCount() {
    return strangers.count();
  }

  private void publishLive() {
    live =
        links.values().stream()
            .flatMap(link -> link.peer().stream())
            .collect(Collectors.toUnmodifiableSet());
  }

  private static <T> Uni<T> uni(Future<T> future) {
    return Uni.createFrom().completionStage(future::toCompletionStage);
  }

  /** Carries what happens on one connection to the link that it belongs to. */
  private final class Events implements ConnectionOwner {

    private final Runnable whenEnded;
    private PeerLink link;

    Events(Runnable whenEnded) {
      this.whenEnded = whenEnded;
    }

    @Override
    public void opened(PeerConnection connection) {
      if (closed) {
        connection.close();
      } else {
        strangers.add(connection);
      }
    }

    @Override
    public void authenticated(PeerConnection connection, PeerIdentity identity) {
      strangers.remove(connection);
      if (closed) {
        connection.close();
        return;
      }
      link =
          links.computeIfAbsent(
              identity.name(), name -> new PeerLink(settings, timers, counters, new Links()));
      if (link.connected(connection, identity)) {
        dialer.linked(identity.name());
      }
    }

    @Override
    public void received(PeerConnection connection, PeerMessage message) {
      if (link != null) {
        link.received(connection, message);
      }
    }

    @Override
    public void refused(PeerConnection connection, String why) {
      strangers.refused(why);
    }

    @Override
    public void drained(PeerConnection connection) {
      if (link != null) {
        link.pump();
      }
    }

    @Override
    public void ended(PeerConnection connection) {
      strangers.remove(connection);
      if (link != null) {
        link.disconnected(connection);
      }
      whenEnded.run();
    }
  }

  /** Carries what happens on the links to the listeners. */
  private final class Links implements LinkOwner {

    @Override
    public long nextCorrelation() {
      lastCorrelation++;
      return lastCorrelation;
    }

    @Override
    public int linkCount() {
      return live.size();
    }

    @Override
    public void up(PeerIdentity peer) {
      publishLive();
      listeners.forEach(listener -> listener.up(peer));
    }

    @Override
    public void down(PeerIdentity peer) {
      publishLive();
      listeners.forEach(listener -> listener.down(peer));
    }

    @Override
    public void message(PeerIdentity peer, PeerMessage message) {
      listeners.forEach(listener -> listener.message(peer, message));
    }

    @Override
    public Uni<? extends Answer> request(PeerIdentity peer, Request request) {
      return handler.handle(peer, request).emitOn(control);
    }
  }
}
