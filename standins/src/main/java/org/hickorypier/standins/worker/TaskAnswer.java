package org.hickorypier.standins.worker;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Iterator;
import java.util.NoSuchElementException;
import org.hickorypier.platform.worker.TaskState;

/**
 * The answer of an ended task: a line that names the task and the start of its payload, then the
 * payload itself if it is echoed, then filler.
 *
 * <p>Immutable and thread safe. The filler is made piece by piece and never kept.
 */
public final class TaskAnswer {

  private static final int PAYLOAD_SHOWN = 200;
  private static final int PIECE_BYTES = 8_192;
  private static final byte FILLER = '.';

  private final TaskState state;
  private final byte[] start;
  private final long length;

  TaskAnswer(String taskId, TaskState state, TaskWork work, byte[] payload) {
    this.state = state;
    this.start = start(taskId, work, payload);
    this.length = Math.max(start.length, work.answerBytes());
  }

  /**
   * Returns how the task ended.
   *
   * @return the state
   */
  public TaskState state() {
    return state;
  }

  /**
   * Returns the length of the whole answer.
   *
   * @return the number of bytes
   */
  public long length() {
    return length;
  }

  /**
   * Returns the answer in pieces.
   *
   * @return the pieces, made as they are asked for
   */
  public Iterable<byte[]> pieces() {
    return () -> new Pieces(length);
  }

  /**
   * Returns the first half of the answer, for an answer that is cut short.
   *
   * @return the pieces, made as they are asked for
   */
  public Iterable<byte[]> firstHalf() {
    return () -> new Pieces(length / 2);
  }

  private final class Pieces implements Iterator<byte[]> {

    private final long end;
    private long sent;

    Pieces(long end) {
      this.end = end;
    }

    @Override
    public boolean hasNext() {
      return sent < end;
    }

    @Override
    public byte[] next() {
      if (!hasNext()) {
        throw new NoSuchElementException();
      }
      byte[] piece = piece(sent, end);
      sent += piece.length;
      return piece;
    }
  }

  private byte[] piece(long from, long end) {
    int size = (int) Math.min(PIECE_BYTES, end - from);
    byte[] piece = new byte[size];
    Arrays.fill(piece, FILLER);
    if (from < start.length) {
      System.arraycopy(start, (int) from, piece, 0, Math.min(size, start.length - (int) from));
    }
    return piece;
  }

  private static byte[] start(String taskId, TaskWork work, byte[] payload) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(("task " + taskId + " ").getBytes(StandardCharsets.UTF_8));
    bytes.write(payload, 0, Math.min(PAYLOAD_SHOWN, payload.length));
    bytes.write('\n');
    if (work.echo()) {
      bytes.writeBytes(payload);
    }
    return bytes.toByteArray();
  }
}
