package org.hickorypier.core.cell;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickorypier.core.model.Resources;
import org.hickorypier.wire.UndecodableException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** MessagePack codec of the roster in the store. Stateless, thus thread-safe. */
public final class RosterCodec {

  private static final int UNKNOWN_RUNS = -1;

  private RosterCodec() {}

  /**
   * Encodes a roster.
   *
   * @param entries the entries of the workers
   * @return the encoded bytes
   */
  public static byte[] encode(List<RosterEntry> entries) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(entries.size());
      for (RosterEntry each : entries) {
        WorkerEntry entry = each.worker();
        packer.packString(entry.id()).packString(entry.service()).packString(entry.address());
        packer.packLong(entry.capacity().milliProcessors());
        packer.packLong(entry.capacity().memoryMebibytes());
        packer.packInt(entry.capacity().accelerators());
        packer.packArrayHeader(entry.labels().size());
        for (String label : entry.labels()) {
          packer.packString(label);
        }
        packer.packLong(entry.bornMillis());
      }
      // These fields follow all entries, since older readers stop there.
      for (RosterEntry each : entries) {
        packer.packLong(each.closedAfter());
      }
      for (RosterEntry each : entries) {
        packer.packLong(each.leaseMillis());
        packRuns(packer, each.runs());
      }
      for (RosterEntry each : entries) {
        packer.packBoolean(each.worker().draining());
      }
      for (RosterEntry each : entries) {
        packer.packLong(each.formerLeaseMillis());
      }
      for (RosterEntry each : entries) {
        packer.packLong(each.unheardRuns().leaseMillis());
        packRuns(packer, Optional.of(each.unheardRuns().runs()));
      }
      return packer.toByteArray();
    } catch (IOException error) {
      throw new IllegalStateException("cannot encode into a memory buffer", error);
    }
  }

  /**
   * Decodes a roster.
   *
   * @param bytes the encoded bytes
   * @return the entries
   * @throws UndecodableException if the bytes are not a valid roster
   */
  public static List<RosterEntry> decode(byte[] bytes) throws UndecodableException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int count = unpacker.unpackArrayHeader();
      List<WorkerEntry> workers = new ArrayList<>();
      for (int index = 0; index < count; index++) {
        workers.add(unpackEntry(unpacker));
      }
      List<Long> closedAfter = new ArrayList<>();
      for (int index = 0; index < count; index++) {
        closedAfter.add(unpacker.hasNext() ? unpacker.unpackLong() : RosterEntry.OPEN);
      }
      List<RosterEntry> entries = new ArrayList<>();
      for (int index = 0; index < count; index++) {
        entries.add(
            unpacker.hasNext()
                ? new RosterEntry(
                    workers.get(index),
                    closedAfter.get(index),
                    unpacker.unpackLong(),
                    unpackRuns(unpacker))
                : new RosterEntry(workers.get(index), closedAfter.get(index)));
      }
      if (unpacker.hasNext()) {
        for (int index = 0; index < count; index++) {
          entries.set(index, entries.get(index).withDraining(unpacker.unpackBoolean()));
        }
      }
      if (unpacker.hasNext()) {
        for (int index = 0; index < count; index++) {
          entries.set(index, entries.get(index).withFormerLease(unpacker.unpackLong()));
        }
      }
      if (unpacker.hasNext()) {
        for (int index = 0; index < count; index++) {
          long leaseMillis = unpacker.unpackLong();
          List<RunKey> runs = unpackRuns(unpacker).orElse(List.of());
          UnheardRuns unheard = new UnheardRuns(runs, leaseMillis);
          entries.set(index, entries.get(index).withUnheardRuns(unheard));
        }
      }
      return entries;
    } catch (IOException | MessagePackException error) {
      throw new UndecodableException(bytes.length + " bytes are not a valid roster", error);
    }
  }

  private static void packRuns(MessageBufferPacker packer, Optional<List<RunKey>> runs)
      throws IOException {
    packer.packInt(runs.map(List::size).orElse(UNKNOWN_RUNS));
    for (RunKey run : runs.orElse(List.of())) {
      TaskName task = run.task();
      packer.packString(task.submission()).packInt(task.occurrence());
      packer.packInt(task.step()).packInt(task.index()).packInt(run.number());
    }
  }

  private static Optional<List<RunKey>> unpackRuns(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackInt();
    if (count == UNKNOWN_RUNS) {
      return Optional.empty();
    }
    List<RunKey> runs = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      TaskName task =
          new TaskName(
              unpacker.unpackString(),
              unpacker.unpackInt(),
              unpacker.unpackInt(),
              unpacker.unpackInt());
      runs.add(new RunKey(task, unpacker.unpackInt()));
    }
    return Optional.of(runs);
  }

  private static WorkerEntry unpackEntry(MessageUnpacker unpacker) throws IOException {
    String id = unpacker.unpackString();
    String service = unpacker.unpackString();
    String address = unpacker.unpackString();
    Resources capacity =
        new Resources(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackInt());
    int labels = unpacker.unpackArrayHeader();
    List<String> names = new ArrayList<>();
    for (int index = 0; index < labels; index++) {
      names.add(unpacker.unpackString());
    }
    return new WorkerEntry(id, service, address, false, 0, capacity, names, unpacker.unpackLong());
  }
}
