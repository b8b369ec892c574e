package org.hickorypier.core.submission;

import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.model.Resources;
import org.hickorypier.wire.BoundedBinary;
import org.hickorypier.wire.UndecodableException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes submissions and their progress in MessagePack, for the store and between instances.
 *
 * <p>Each field is packed explicitly, because binding by reflection takes longer than the whole
 * startup of a cold process. Thread-safe: it holds no state.
 */
public final class SubmissionCodec {

  private SubmissionCodec() {}

  /**
   * Encodes a specification.
   *
   * @param spec the specification
   * @return its bytes
   */
  public static byte[] encode(SubmissionSpec spec) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      pack(packer, spec);
      return packer.toByteArray();
    } catch (IOException error) {
      throw new IllegalStateException("cannot encode into a memory buffer", error);
    }
  }

  /**
   * Encodes a specification with the number that its owner assigned on acceptance.
   *
   * @param spec the specification
   * @param number the number
   * @return its bytes, which {@link #decode} also accepts
   */
  public static byte[] encode(SubmissionSpec spec, long number) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      pack(packer, spec);
      packer.packLong(number);
      return packer.toByteArray();
    } catch (IOException error) {
      throw new IllegalStateException("cannot encode into a memory buffer", error);
    }
  }

  /**
   * Decodes the number that an owner assigned to a submission.
   *
   * @param bytes the specification's bytes
   * @return the number, or 0 if none was encoded
   * @throws UndecodableException if the bytes do not start with a valid specification
   */
  public static long decodeNumber(byte[] bytes) throws UndecodableException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpack(unpacker);
      return unpacker.hasNext() ? unpacker.unpackLong() : 0;
    } catch (IOException | RuntimeException error) {
      throw new UndecodableException(
          bytes.length + " bytes cannot be decoded as a submission", error);
    }
  }

  private static void pack(MessageBufferPacker packer, SubmissionSpec spec) throws IOException {
    packer.packString(spec.id()).packString(spec.customer()).packString(spec.text());
    packer.packInt(spec.times()).packLong(spec.startAtMillis());
    packer.packLong(spec.intervalMillis()).packLong(spec.acceptedAtMillis());
    packQueue(packer, spec.queue());
    packer.packArrayHeader(spec.steps().size());
    for (StepSpec step : spec.steps()) {
      packStep(packer, step);
    }
  }

  /**
   * Decodes a specification.
   *
   * @param bytes its bytes
   * @return the specification
   * @throws UndecodableException if the bytes do not start with a valid specification
   */
  public static SubmissionSpec decode(byte[] bytes) throws UndecodableException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return unpack(unpacker);
    } catch (IOException | RuntimeException error) {
      throw new UndecodableException(
          bytes.length + " bytes cannot be decoded as a submission", error);
    }
  }

  private static SubmissionSpec unpack(MessageUnpacker unpacker) throws IOException {
    String id = unpacker.unpackString();
    String customer = unpacker.unpackString();
    String text = unpacker.unpackString();
    int times = unpacker.unpackInt();
    long startAt = unpacker.unpackLong();
    long interval = unpacker.unpackLong();
    long acceptedAt = unpacker.unpackLong();
    QueueTerms queue = unpackQueue(unpacker);
    int count = unpacker.unpackArrayHeader();
    List<StepSpec> steps = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      steps.add(unpackStep(unpacker));
    }
    return new SubmissionSpec(
        id, customer, queue, text, steps, times, startAt, interval, acceptedAt);
  }

  /**
   * Decodes only the customer of a specification.
   *
   * @param bytes the specification's bytes
   * @return the customer, or empty on a public queue
   * @throws UndecodableException if the customer cannot be decoded
   */
  public static String decodeCustomer(byte[] bytes) throws UndecodableException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.unpackString();
      return unpacker.unpackString();
    } catch (IOException | RuntimeException error) {
      throw new UndecodableException(
          bytes.length + " bytes cannot be decoded as a submission", error);
    }
  }

  /**
   * Encodes progress.
   *
   * @param progress the progress
   * @return its bytes
   */
  public static byte[] encodeProgress(SubmissionProgress progress) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(progress.state().ordinal()).packLong(progress.endedAtMillis());
      packer.packArrayHeader(progress.completedTasks().size());
      for (BitSet bits : progress.completedTasks()) {
        byte[] bytes = bits.toByteArray();
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
      }
      packer.packMapHeader(progress.failedRuns().size());
      for (Map.Entry<Integer, List<Integer>> failed : progress.failedRuns().entrySet()) {
        packer.packInt(failed.getKey());
        packIntegers(packer, failed.getValue());
      }
      // Left out if empty, and last, since older readers stop before it.
      boolean hasMoves = !progress.moves().isEmpty();
      if (hasMoves || !progress.crashes().isEmpty()) {
        packCrashes(packer, progress.crashes(), hasMoves);
      }
      if (hasMoves) {
        packMoves(packer, progress.moves());
      }
      return packer.toByteArray();
    } catch (IOException error) {
      throw new IllegalStateException("cannot encode into a memory buffer", error);
    }
  }

  /**
   * Decodes progress.
   *
   * @param bytes its bytes
   * @return the progress
   * @throws UndecodableException if the bytes are not valid progress; the message names a number of
   *     moves, a task position or an amount that is out of range
   */
  public static SubmissionProgress decodeProgress(byte[] bytes) throws UndecodableException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      SubmissionState state = SubmissionState.values()[unpacker.unpackInt()];
      long endedAt = unpacker.unpackLong();
      List<BitSet> done = new ArrayList<>();
      int steps = unpacker.unpackArrayHeader();
      for (int index = 0; index < steps; index++) {
        done.add(BitSet.valueOf(BoundedBinary.unpack(unpacker, bytes.length)));
      }
      Map<Integer, List<Integer>> failed = new HashMap<>();
      int entries = unpacker.unpackMapHeader();
      for (int index = 0; index < entries; index++) {
        failed.put(unpacker.unpackInt(), unpackIntegers(unpacker));
      }
      Map<Integer, CrashRecord> crashes = unpacker.hasNext() ? unpackCrashes(unpacker) : Map.of();
      Map<Integer, MoveRecord> moves = unpacker.hasNext() ? unpackMoves(unpacker) : Map.of();
      return new SubmissionProgress(state, endedAt, done, failed, crashes, moves);
    } catch (IllegalArgumentException error) {
      throw new UndecodableException(
          bytes.length + " bytes cannot be decoded as progress: " + error.getMessage(), error);
    } catch (IOException | RuntimeException error) {
      throw new UndecodableException(bytes.length + " bytes cannot be decoded as progress", error);
    }
  }

  private static void packMoves(MessagePacker packer, Map<Integer, MoveRecord> moves)
      throws IOException {
    packer.packMapHeader(moves.size());
    for (Map.Entry<Integer, MoveRecord> entry : moves.entrySet()) {
      packer.packInt(entry.getKey());
      packer.packInt(entry.getValue().moves()).packBoolean(entry.getValue().longByItself());
    }
  }

  private static Map<Integer, MoveRecord> unpackMoves(MessageUnpacker unpacker) throws IOException {
    int entries = unpacker.unpackMapHeader();
    checkRange("number of moved tasks", entries, SubmissionProgress.MAX_MOVE_RECORDS);
    Map<Integer, MoveRecord> moves = new LinkedHashMap<>();
    for (int index = 0; index < entries; index++) {
      int position = unpacker.unpackInt();
      checkRange("position of a moved task", position, Integer.MAX_VALUE);
      moves.put(position, new MoveRecord(unpacker.unpackInt(), unpacker.unpackBoolean()));
    }
    return moves;
  }

  private static void checkRange(String name, int value, int max) {
    if (value < 0 || value > max) {
      throw new IllegalArgumentException(name + " must be from 0 to " + max + ", not " + value);
    }
  }

  private static void packCrashes(
      MessagePacker packer, Map<Integer, CrashRecord> crashes, boolean withDecibans)
      throws IOException {
    packer.packMapHeader(crashes.size());
    for (Map.Entry<Integer, CrashRecord> entry : crashes.entrySet()) {
      packer.packInt(entry.getKey());
      packIntegers(packer, entry.getValue().lostBeside());
      packIntegers(packer, entry.getValue().lostAlone());
      packIntegers(packer, entry.getValue().lostUnseen());
      packer.packInt(entry.getValue().announcedRun());
      packer.packInt(entry.getValue().lateStarts());
    }
    // Apart from the above, since readers of earlier versions stop before it.
    if (!withDecibans && crashes.values().stream().allMatch(each -> each.decibans().isEmpty())) {
      return;
    }
    for (CrashRecord each : crashes.values()) {
      packer.packMapHeader(each.decibans().size());
      for (Map.Entry<Integer, Integer> weight : each.decibans().entrySet()) {
        packer.packInt(weight.getKey());
        packer.packInt(weight.getValue());
      }
    }
  }

  private static Map<Integer, CrashRecord> unpackCrashes(MessageUnpacker unpacker)
      throws IOException {
    Map<Integer, CrashRecord> crashes = new LinkedHashMap<>();
    int entries = unpacker.unpackMapHeader();
    for (int index = 0; index < entries; index++) {
      int position = unpacker.unpackInt();
      List<Integer> beside = unpackIntegers(unpacker);
      List<Integer> alone = unpackIntegers(unpacker);
      List<Integer> unseen = unpackIntegers(unpacker);
      int announcedRun = unpacker.unpackInt();
      int lateStarts = unpacker.unpackInt();
      crashes.put(position, new CrashRecord(beside, alone, unseen, announcedRun, lateStarts));
    }
    if (unpacker.hasNext()) {
      for (Map.Entry<Integer, CrashRecord> entry : crashes.entrySet()) {
        entry.setValue(entry.getValue().withDecibans(unpackWeights(unpacker)));
      }
    }
    return crashes;
  }

  private static Map<Integer, Integer> unpackWeights(MessageUnpacker unpacker) throws IOException {
    Map<Integer, Integer> weights = new HashMap<>();
    int entries = unpacker.unpackMapHeader();
    for (int index = 0; index < entries; index++) {
      weights.put(unpacker.unpackInt(), unpacker.unpackInt());
    }
    return weights;
  }

  private static void packQueue(MessagePacker packer, QueueTerms queue) throws IOException {
    packer.packString(queue.name()).packString(queue.service()).packInt(queue.priority());
    packer.packInt(queue.maxAttempts()).packDouble(queue.stretch());
    packer.packLong(queue.objectiveMillis()).packBoolean(queue.advice().isPresent());
    if (queue.advice().isPresent()) {
      AdviceTerms advice = queue.advice().get();
      packer.packDouble(advice.baseMillis()).packDouble(advice.perWorkerMillis());
      packer.packLong(advice.ticketValidityMillis());
    }
  }

  private static QueueTerms unpackQueue(MessageUnpacker unpacker) throws IOException {
    String name = unpacker.unpackString();
    String service = unpacker.unpackString();
    int priority = unpacker.unpackInt();
    int attempts = unpacker.unpackInt();
    double stretch = unpacker.unpackDouble();
    long objective = unpacker.unpackLong();
    Optional<AdviceTerms> advice = Optional.empty();
    if (unpacker.unpackBoolean()) {
      advice =
          Optional.of(
              new AdviceTerms(
                  unpacker.unpackDouble(), unpacker.unpackDouble(), unpacker.unpackLong()));
    }
    return new QueueTerms(name, service, priority, attempts, stretch, objective, advice);
  }

  private static void packStep(MessagePacker packer, StepSpec step) throws IOException {
    packer.packInt(step.count()).packLong(step.taskResources().milliProcessors());
    packer
        .packLong(step.taskResources().memoryMebibytes())
        .packInt(step.taskResources().accelerators());
    packer.packLong(step.estimateMillis());
    packIntegers(packer, step.dependsOn());
    StepFlags flags = step.flags();
    packer.packBoolean(flags.gang()).packBoolean(flags.sameRack());
    packer.packBoolean(flags.checkpoints()).packBoolean(flags.speculative());
    packer.packBoolean(flags.persistent()).packBoolean(flags.opportunistic());
    packer.packString(step.requires()).packString(step.affinity());
    packer.packInt(step.antiAffinity()).packString(step.image());
    packer.packLong(step.targetMillis()).packInt(step.maxUnavailable());
  }

  private static StepSpec unpackStep(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackInt();
    Resources each =
        new Resources(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackInt());
    long estimate = unpacker.unpackLong();
    List<Integer> dependsOn = unpackIntegers(unpacker);
    StepFlags flags =
        new StepFlags(
            unpacker.unpackBoolean(),
            unpacker.unpackBoolean(),
            unpacker.unpackBoolean(),
            unpacker.unpackBoolean(),
            unpacker.unpackBoolean(),
            unpacker.unpackBoolean());
    String requires = unpacker.unpackString();
    String affinity = unpacker.unpackString();
    int antiAffinity = unpacker.unpackInt();
    String image = unpacker.unpackString();
    return new StepSpec(
        count,
        each,
        estimate,
        dependsOn,
        flags,
        requires,
        affinity,
        antiAffinity,
        image,
        unpacker.unpackLong(),
        unpacker.unpackInt());
  }

  private static void packIntegers(MessagePacker packer, List<Integer> values) throws IOException {
    packer.packArrayHeader(values.size());
    for (int value : values) {
      packer.packInt(value);
    }
  }

  private static List<Integer> unpackIntegers(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<Integer> values = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      values.add(unpacker.unpackInt());
    }
    return values;
  }
}
