package org.hickorypier.daemon.front;

/** Who tells a {@link ConnectionGuard} of the requests on its connections. */
public enum GuardMode {
  /** The server of the listener records each request and its end. */
  RECORDED,

  /** The guard counts each request and its body from its head until the end of its answer. */
  WATCHED,

  /** Nobody: each request is answered as soon as its head has come, and its body is not kept. */
  ANSWERED_AT_ONCE
}
