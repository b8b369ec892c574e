package org.hickorypier.daemon.peer;

import org.hickorypier.wire.message.PeerMessage.Answer;

/** Waits for the one answer to a request. Exactly one of the two methods is called, once. */
interface AnswerReceiver {

  /** The answer came. */
  void answered(Answer answer);

  /** No answer will come. */
  void failed(PeerException error);
}
