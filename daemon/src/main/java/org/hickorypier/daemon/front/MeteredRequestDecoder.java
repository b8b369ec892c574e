package org.hickorypier.daemon.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.function.Predicate;

/**
 * Decoder of the requests of one connection, which reports how much of a head has been received.
 *
 * <p>Confined to the event loop of its connection.
 */
final class MeteredRequestDecoder extends HttpRequestDecoder {

  /** All connections of the process share the direct memory, so incomplete lines are not there. */
  private static final ByteBufAllocator HEAP = new UnpooledByteBufAllocator(false, true);

  private final RequestObserver observer;
  private boolean betweenRequests = true;
  private int completed;
  private int headBytes;
  private int bodyBytes;
  private int maxHeadBytes;
  private boolean reportedInHead;
  private int reportedMaxHeadBytes;
  private int reportedBodyBytes;

  /** Receives the progress of requests. */
  @FunctionalInterface
  interface RequestObserver {

    /**
     * Called before a part of a request is passed on.
     *
     * @param bodyBytes the length of its body so far
     * @param complete whether this is its end
     */
    default void onPart(int bodyBytes, boolean complete) {}

    /**
     * Called after bytes were read, if a value has changed.
     *
     * @param inHead whether a head has begun and is incomplete
     * @param maxHeadBytes the most bytes of a head, or of an incomplete line, of the connection so
     *     far
     */
    void onProgress(boolean inHead, int maxHeadBytes);
  }

  /**
   * Creates a decoder.
   *
   * @param maxLineBytes the longest first line of a request
   * @param maxHeaderBytes the largest size of the header lines together
   * @param keptNames accepts the names of the headers to keep, in lower case
   * @param observer receives the progress
   */
  MeteredRequestDecoder(
      int maxLineBytes, int maxHeaderBytes, Predicate<String> keptNames, RequestObserver observer) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxLineBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setHeadersFactory(KeptHeaders.factory(keptNames))
            .setTrailersFactory(KeptHeaders.factory(name -> false)));
    this.observer = observer;
    setCumulator((allocator, begun, received) -> MERGE_CUMULATOR.cumulate(HEAP, begun, received));
  }

  /** Returns the number of requests that were decoded to their end. */
  int completedRequests() {
    return completed;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    super.channelRead(context, message);
    int held = headBytes + actualReadableBytes();
    boolean inHead = betweenRequests && held > 0;
    maxHeadBytes = Math.max(maxHeadBytes, held);
    if (inHead != reportedInHead
        || maxHeadBytes != reportedMaxHeadBytes
        || bodyBytes != reportedBodyBytes) {
      reportedBodyBytes = bodyBytes;
      reportedInHead = inHead;
      reportedMaxHeadBytes = maxHeadBytes;
      observer.onProgress(inHead, maxHeadBytes);
    }
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output)
      throws Exception {
    int readable = input.readableBytes();
    int decoded = output.size();
    super.decode(context, input, output);
    if (betweenRequests) {
      headBytes += readable - input.readableBytes();
      maxHeadBytes = Math.max(maxHeadBytes, headBytes);
    }
    for (Object part : output.subList(decoded, output.size())) {
      bodyBytes = part instanceof HttpRequest ? 0 : bodyBytes;
      bodyBytes += part instanceof HttpContent content ? content.content().readableBytes() : 0;
      observer.onPart(bodyBytes, part instanceof LastHttpContent);
    }
    if (output.size() > decoded) {
      betweenRequests = output.get(output.size() - 1) instanceof LastHttpContent;
      completed += betweenRequests ? 1 : 0;
      headBytes = 0;
    }
  }
}
