package org.hickorypier.daemon.front;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.Locale;
import java.util.function.Predicate;

/**
 * Headers of a request, of which only those in use are kept. A header takes about a hundred bytes
 * of memory, also if its line has three.
 *
 * <p>Invariant: a name is kept that is accepted, with its first {@link #MAX_FIELDS} lines of all
 * names. Not thread-safe.
 */
final class KeptHeaders extends DefaultHttpHeaders {

  /** More lines than ordinary requests have. */
  static final int MAX_FIELDS = 100;

  private final Predicate<String> names;

  private KeptHeaders(Predicate<String> names) {
    this.names = names;
  }

  /**
   * Returns a factory of headers.
   *
   * @param names accepts the names to keep, in lower case
   */
  static HttpHeadersFactory factory(Predicate<String> names) {
    return new HttpHeadersFactory() {
      @Override
      public HttpHeaders newHeaders() {
        return new KeptHeaders(names);
      }

      @Override
      public HttpHeaders newEmptyHeaders() {
        return new KeptHeaders(names);
      }
    };
  }

  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    return size() < MAX_FIELDS && names.test(name.toString().toLowerCase(Locale.ROOT))
        ? super.add(name, value)
        : this;
  }
}
