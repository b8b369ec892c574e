package org.hickorypier.daemon.peer;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Predicate;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.message.DigestWriter;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Digest;
import org.hickorypier.wire.message.PeerMessage.DigestChange;
import org.hickorypier.wire.message.PeerMessage.Heartbeat;
import org.hickorypier.wire.message.PeerMessage.Part;

/**
 * What waits to be written to one link.
 *
 * <p>Load it is made for: a peer that reads more slowly than we write. Heartbeats go first, so a
 * long answer never makes a live link look silent. Of digests only the newest waits, so a slow peer
 * costs no memory for them and work is never given up on for their sake. Messages longer than a
 * frame are cut and take turns with short ones, so neither waits for all of the other. Work in the
 * outbox is bounded by {@link #MAX_BYTES}; the harm of more would be a daemon out of memory because
 * one peer is slow.
 *
 * <p>Not thread safe.
 */
final class Outbox {

  /** Work waiting for one link at the most; with 7 peers, a fifth of a daemon's 256 MB. */
  static final int MAX_BYTES = 8 * 1024 * 1024;

  /** The longest message that is cut into parts; longer ones are refused by {@link PeerLink}. */
  static final int MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

  /** The longest message that goes in one piece, and the length of a part's data. */
  static final int PART_BYTES = 64 * 1024;

  private final MessagePackCodec<PeerMessage> codec;
  private final Predicate<PeerMessage> wanted;
  private final Queue<Frameable> signs = new ArrayDeque<>();
  private final Deque<Frameable> shortWork = new ArrayDeque<>();
  private final Deque<Frameable> longWork = new ArrayDeque<>();
  private Digest digest;
  private int digestUses;
  private DigestWriter digests = new DigestWriter();
  private int longOffset;
  private boolean longHasTurn;
  private long bytes;

  /**
   * Creates an empty outbox.
   *
   * @param codec encodes parts
   * @param wanted asked of each message before it is written. A request that was failed as "not
   *     taken" while it waited here must not leave any more
   */
  Outbox(MessagePackCodec<PeerMessage> codec, Predicate<PeerMessage> wanted) {
    this.codec = codec;
    this.wanted = wanted;
  }

  /** Returns whether so many more bytes of work have room. */
  boolean hasRoom(int length) {
    return bytes + length <= MAX_BYTES;
  }

  /**
   * Adds a message. Bounds are the caller's: see {@link #hasRoom}.
   *
   * @param message the message
   * @param encoded its bytes
   */
  void add(PeerMessage message, byte[] encoded) {
    Frameable frameable = new Frameable(message, encoded);
    if (message instanceof Heartbeat) {
      signs.add(frameable);
      return;
    }
    bytes += encoded.length;
    (encoded.length > PART_BYTES ? longWork : shortWork).add(frameable);
  }

  /**
   * Adds a digest. What has changed is worked out when it is written, so one that is replaced here
   * leaves no gap.
   *
   * @param newest the digest
   * @param mostUses how many teams' use may be written of it
   * @return whether it took the place of one that had not been sent
   */
  boolean add(Digest newest, int mostUses) {
    final boolean replaced = digest != null;
    digest = newest;
    digestUses = mostUses;
    return replaced;
  }

  /** Takes out what is to be written next. */
  Optional<Frameable> next() {
    if (!signs.isEmpty()) {
      return Optional.of(signs.remove());
    }
    if (digest != null) {
      DigestChange change = digests.change(digest, digestUses);
      digest = null;
      return Optional.of(new Frameable(change, codec.encode(change)));
    }
    dropUnwanted();
    boolean takeLong = !longWork.isEmpty() && (longHasTurn || shortWork.isEmpty());
    longHasTurn = !takeLong;
    if (takeLong) {
      return Optional.of(nextPart());
    }
    if (shortWork.isEmpty()) {
      return Optional.empty();
    }
    Frameable next = shortWork.remove();
    bytes -= next.encoded().length;
    return Optional.of(next);
  }

  /** Drops everything; the link is gone and what matters is sent again on the next one. */
  void clear() {
    signs.clear();
    shortWork.clear();
    longWork.clear();
    digest = null;
    digests = new DigestWriter();
    longHasTurn = false;
    longOffset = 0;
    bytes = 0;
  }

  // A transfer that stops half way needs no message: the next one starts at offset 0, at which the
  // receiver drops what it has.
  private void dropUnwanted() {
    while (!shortWork.isEmpty() && !wanted.test(shortWork.element().message())) {
      bytes -= shortWork.remove().encoded().length;
    }
    while (!longWork.isEmpty() && !wanted.test(longWork.element().message())) {
      bytes -= longWork.remove().encoded().length;
      longOffset = 0;
    }
  }

  private Frameable nextPart() {
    Frameable whole = longWork.element();
    int total = whole.encoded().length;
    int end = Math.min(total, longOffset + PART_BYTES);
    Part part = new Part(longOffset, total, Arrays.copyOfRange(whole.encoded(), longOffset, end));
    longOffset = end;
    if (end == total) {
      longWork.remove();
      longOffset = 0;
      bytes -= total;
    }
    return new Frameable(end == total ? whole.message() : part, part, codec.encode(part));
  }

  /**
   * A message with its bytes, ready for a frame.
   *
   * @param completes the message of which the last byte is in this frame; the part itself before
   * @param message what is in the frame
   * @param encoded its bytes
   */
  record Frameable(PeerMessage completes, PeerMessage message, byte[] encoded) {

    Frameable(PeerMessage message, byte[] encoded) {
      this(message, message, encoded);
    }
  }
}
