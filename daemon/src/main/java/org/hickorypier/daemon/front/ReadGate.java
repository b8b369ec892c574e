package org.hickorypier.daemon.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/**
 * Passes received bytes to the decoder in small pieces, and keeps them back while earlier requests
 * of the connection are not answered or its answers are not read.
 *
 * <p>A decoded request takes several times the bytes that it has on the wire, so requests in series
 * are decoded when it is their turn. The pieces lie on the heap, so that a connection that stops
 * within a line keeps no direct memory, which all connections of the process share.
 *
 * <p>Invariant: nothing is read from the connection while bytes are kept back. Confined to the
 * event loop of the connection.
 */
final class ReadGate extends ChannelDuplexHandler {

  private static final int MAX_PIECE_BYTES = 512;

  private final BooleanSupplier mayDecode;
  private final IntConsumer observer;
  private final Queue<ByteBuf> kept = new ArrayDeque<>(1);
  private ChannelHandlerContext context;
  private int keptBytes;
  private int reportedBytes;
  private boolean passing;

  /**
   * Creates a gate.
   *
   * @param mayDecode whether the next request may be decoded
   * @param observer receives the number of bytes that are kept back, when it has changed
   */
  ReadGate(BooleanSupplier mayDecode, IntConsumer observer) {
    this.mayDecode = mayDecode;
    this.observer = observer;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void channelRead(ChannelHandlerContext received, Object message) {
    if (message instanceof ByteBuf bytes) {
      keep(bytes);
      pass();
    } else {
      received.fireChannelRead(message);
    }
  }

  private void keep(ByteBuf bytes) {
    try {
      int length = bytes.readableBytes();
      kept.add(Unpooled.buffer(length, length).writeBytes(bytes));
      keptBytes += length;
    } finally {
      bytes.release();
    }
  }

  private void pass() {
    if (passing) {
      return;
    }
    passing = true;
    while (!kept.isEmpty() && isOpen()) {
      context.fireChannelRead(takePiece());
    }
    passing = false;
    if (keptBytes != reportedBytes) {
      reportedBytes = keptBytes;
      observer.accept(keptBytes);
    }
    if (!context.isRemoved()) {
      context.channel().config().setAutoRead(kept.isEmpty());
    }
  }

  private ByteBuf takePiece() {
    ByteBuf first = kept.element();
    int length = Math.min(MAX_PIECE_BYTES, first.readableBytes());
    keptBytes -= length;
    return length == first.readableBytes()
        ? kept.remove()
        : Unpooled.buffer(length, length).writeBytes(first, length);
  }

  private void passAndComplete() {
    if (!kept.isEmpty()) {
      pass();
      context.fireChannelReadComplete();
    }
  }

  private boolean isOpen() {
    return !context.isRemoved() && context.channel().isWritable() && mayDecode.getAsBoolean();
  }

  @Override
  public void read(ChannelHandlerContext reading) {
    if (kept.isEmpty()) {
      reading.read();
    } else {
      reading.channel().config().setAutoRead(false);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext changed) {
    changed.fireChannelWritabilityChanged();
    passAndComplete();
  }

  /** Passes on what may be decoded once the present answer was written. */
  void passLater() {
    if (!kept.isEmpty()) {
      context.executor().execute(this::passAndComplete);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactive) {
    kept.clear();
    keptBytes = 0;
    inactive.fireChannelInactive();
  }
}
