package org.hickorypier.measure.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Bytes of the open TCP connections of one process, as the kernel counts them.
 *
 * <p>Immutable. Connections that are closed between two readings are missed, so the figures hold
 * for the lasting ones: peers, log, and workers as long as they keep connections open.
 *
 * @param sockets the connections by their two ends
 */
record SocketCounters(Map<String, Socket> sockets) {

  private static final Pattern ENDS = Pattern.compile("\\S+:(\\d+)\\s+\\S+:(\\d+)\\s+users:");
  private static final Pattern SENT = Pattern.compile("bytes_sent:(\\d+)");
  private static final Pattern RECEIVED = Pattern.compile("bytes_received:(\\d+)");

  /** One connection. */
  record Socket(int localPort, int remotePort, long sent, long received) {}

  SocketCounters {
    sockets = Map.copyOf(sockets);
  }

  /** Reads what {@code ss -tinpHO} prints, one connection a line. */
  static SocketCounters parse(String text, long processId) {
    Map<String, Socket> sockets = new HashMap<>();
    String mark = "pid=" + processId + ",";
    for (String line : text.split("\n")) {
      Matcher ends = ENDS.matcher(line);
      if (line.contains(mark) && ends.find()) {
        int local = Integer.parseInt(ends.group(1));
        int remote = Integer.parseInt(ends.group(2));
        sockets.put(
            local + "-" + remote,
            new Socket(local, remote, number(SENT, line), number(RECEIVED, line)));
      }
    }
    return new SocketCounters(sockets);
  }

  /** Bytes both ways, since an earlier reading, on connections with one end at such a port. */
  long bytesSince(SocketCounters earlier, Set<Integer> ports) {
    long bytes = 0;
    for (Map.Entry<String, Socket> entry : sockets.entrySet()) {
      Socket now = entry.getValue();
      if (ports.contains(now.localPort()) || ports.contains(now.remotePort())) {
        Socket before = earlier.sockets.get(entry.getKey());
        bytes += now.sent() + now.received();
        bytes -= before == null ? 0 : before.sent() + before.received();
      }
    }
    return bytes;
  }

  private static long number(Pattern pattern, String line) {
    Matcher matcher = pattern.matcher(line);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
  }
}
