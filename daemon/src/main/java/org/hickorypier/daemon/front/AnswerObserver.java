package org.hickorypier.daemon.front;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/** Calls an action after the end of each answer. Confined to the event loop of its connection. */
final class AnswerObserver extends ChannelOutboundHandlerAdapter {

  private final Runnable action;

  AnswerObserver(Runnable action) {
    this.action = action;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    boolean interim =
        message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    boolean end = message instanceof LastHttpContent && !interim;
    context.write(message, promise);
    if (end) {
      action.run();
    }
  }
}
