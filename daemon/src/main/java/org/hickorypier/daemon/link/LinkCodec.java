package org.hickorypier.daemon.link;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.cell.RosterCodec;
import org.hickorypier.core.cell.RunKey;
import org.hickorypier.core.cell.StartAnswer;
import org.hickorypier.core.cell.StartOutcome;
import org.hickorypier.core.cell.TaskName;
import org.hickorypier.core.submission.SubmissionCodec;
import org.hickorypier.core.submission.SubmissionState;
import org.hickorypier.platform.execution.StartOrder;
import org.hickorypier.wire.BoundedBinary;
import org.hickorypier.wire.UndecodableException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes requests and replies in MessagePack. Stateless. */
final class LinkCodec {

  /** The lowest type code of a reply; all requests have lower type codes. */
  private static final int ACCEPTED = 11;

  private static final int FOLLOW_OWNER = -4;
  private static final int PROVE_CONFIGURATION = -3;
  private static final int STAND_BY = -2;
  private static final int START_RUN = -1;
  private static final int FORMER_OWNER = 0;
  private static final int SUBMIT = 1;
  private static final int INQUIRE = 2;
  private static final int CANCEL = 3;
  private static final int COUNT = 4;
  private static final int ADVISE = 5;
  private static final int PROVE_OWNERSHIP = 6;
  private static final int TAKE_OVER = 7;
  private static final int EXPLAIN = 8;
  private static final int INTRODUCE = 9;
  private static final int MEASURE_PACE = 10;
  private static final int REFUSED = 12;
  private static final int STATE = 13;
  private static final int NOT_KNOWN = 14;
  private static final int NUMBER = 15;
  private static final int TICKETS = 16;
  private static final int NOT_OWNER = 17;
  private static final int FAILED = 18;
  private static final int NOTED = 19;
  private static final int LINES = 20;
  private static final int STARTED = 21;
  private static final int CONFIGURATION = 22;

  private LinkCodec() {}

  static byte[] encode(long requestNumber, LinkRequest request) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packLong(requestNumber);
      pack(packer, request);
      return packer.toByteArray();
    } catch (IOException error) {
      throw new IllegalStateException("cannot encode into a memory buffer", error);
    }
  }

  static byte[] encode(long requestNumber, LinkReply reply) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packLong(requestNumber);
      pack(packer, reply);
      return packer.toByteArray();
    } catch (IOException error) {
      throw new IllegalStateException("cannot encode into a memory buffer", error);
    }
  }

  private static void pack(MessagePacker packer, LinkRequest request) throws IOException {
    if (request instanceof LinkRequest.Submit submit) {
      byte[] spec = SubmissionCodec.encode(submit.spec());
      packer.packInt(SUBMIT).packBinaryHeader(spec.length).writePayload(spec);
      packer.packLong(submit.waitMillis());
    } else if (request instanceof LinkRequest.Inquire inquire) {
      packer.packInt(INQUIRE).packString(inquire.id()).packString(inquire.customer());
    } else if (request instanceof LinkRequest.Cancel cancel) {
      packer.packInt(CANCEL).packString(cancel.id()).packString(cancel.customer());
    } else if (request instanceof LinkRequest.Count count) {
      packer.packInt(COUNT).packString(count.queue());
    } else if (request instanceof LinkRequest.Advise advise) {
      packer.packInt(ADVISE).packString(advise.step()).packLong(advise.timeoutMillis());
      packStrings(packer, advise.workers());
    } else if (request instanceof LinkRequest.Explain explain) {
      packer.packInt(EXPLAIN).packString(explain.id());
    } else if (request instanceof LinkRequest.Introduce introduce) {
      packer.packInt(INTRODUCE).packInt(introduce.strength()).packLong(introduce.ageMillis());
      packer.packInt(introduce.version());
    } else if (request instanceof LinkRequest.FormerOwner former) {
      byte[] roster = RosterCodec.encode(former.roster());
      packer.packInt(FORMER_OWNER).packInt(former.epoch());
      packer.packBinaryHeader(roster.length).writePayload(roster);
    } else if (request instanceof LinkRequest.StartRun start) {
      packer.packInt(START_RUN);
      packOrder(packer, start);
    } else if (request instanceof LinkRequest.ProveConfiguration proof) {
      packer.packInt(PROVE_CONFIGURATION).packLong(proof.version());
    } else if (request instanceof LinkRequest.FollowOwner owner) {
      packer.packInt(FOLLOW_OWNER).packInt(owner.epoch());
      packer.packString(owner.address()).packInt(owner.strength());
    } else if (request instanceof LinkRequest.StandBy) {
      packer.packInt(STAND_BY);
    } else if (request instanceof LinkRequest.ProveOwnership) {
      packer.packInt(PROVE_OWNERSHIP);
    } else if (request instanceof LinkRequest.MeasurePace) {
      packer.packInt(MEASURE_PACE);
    } else {
      packer.packInt(TAKE_OVER);
    }
  }

  private static void pack(MessagePacker packer, LinkReply reply) throws IOException {
    if (reply instanceof LinkReply.Accepted) {
      packer.packInt(ACCEPTED);
    } else if (reply instanceof LinkReply.Refused refused) {
      packer.packInt(REFUSED).packString(refused.reason()).packLong(refused.retryAfterMillis());
      packer.packInt(refused.epoch());
    } else if (reply instanceof LinkReply.State state) {
      packer.packInt(STATE).packInt(state.state().ordinal());
    } else if (reply instanceof LinkReply.NotKnown) {
      packer.packInt(NOT_KNOWN);
    } else if (reply instanceof LinkReply.Number count) {
      packer.packInt(NUMBER).packInt(count.number());
    } else if (reply instanceof LinkReply.Tickets tickets) {
      packer.packInt(TICKETS).packLong(tickets.validMillis());
      packer.packMapHeader(tickets.tickets().size());
      for (Map.Entry<String, String> entry : tickets.tickets().entrySet()) {
        packer.packString(entry.getKey()).packString(entry.getValue());
      }
    } else if (reply instanceof LinkReply.Lines lines) {
      packer.packInt(LINES);
      packStrings(packer, lines.lines());
    } else if (reply instanceof LinkReply.Started started) {
      StartAnswer answer = started.answer();
      packer.packInt(STARTED).packInt(answer.outcome().ordinal());
      packer.packLong(answer.clockMillis());
    } else if (reply instanceof LinkReply.Configuration configuration) {
      packer.packInt(CONFIGURATION).packLong(configuration.ageMillis());
      packer.packString(configuration.record());
    } else if (reply instanceof LinkReply.NotOwner denial) {
      packer.packInt(NOT_OWNER).packInt(denial.writingEpoch());
    } else if (reply instanceof LinkReply.Failed) {
      packer.packInt(FAILED);
    } else {
      packer.packInt(NOTED);
    }
  }

  private static void packOrder(MessagePacker packer, LinkRequest.StartRun start)
      throws IOException {
    StartOrder order = start.order();
    TaskName task = order.run().task();
    packer.packString(order.worker()).packString(order.address());
    packer.packString(task.submission()).packInt(task.occurrence());
    packer.packInt(task.step()).packInt(task.index()).packInt(order.run().number());
    packer.packLong(order.deadlineMillis()).packLong(order.token());
    packer.packString(order.checkpoint());
    packOptional(packer, order.ticket());
    packOptional(packer, start.textIncluded() ? order.text() : null);
  }

  private static LinkRequest.StartRun unpackOrder(MessageUnpacker unpacker) throws IOException {
    String worker = unpacker.unpackString();
    String address = unpacker.unpackString();
    TaskName task =
        new TaskName(
            unpacker.unpackString(),
            unpacker.unpackInt(),
            unpacker.unpackInt(),
            unpacker.unpackInt());
    RunKey run = new RunKey(task, unpacker.unpackInt());
    long deadlineMillis = unpacker.unpackLong();
    long token = unpacker.unpackLong();
    String checkpoint = unpacker.unpackString();
    String ticket = unpackOptional(unpacker);
    String text = unpackOptional(unpacker);
    StartOrder order =
        new StartOrder(
            worker,
            address,
            run,
            text == null ? "" : text,
            deadlineMillis,
            token,
            checkpoint,
            ticket);
    return new LinkRequest.StartRun(order, text != null);
  }

  private static void packOptional(MessagePacker packer, String text) throws IOException {
    if (text == null) {
      packer.packNil();
    } else {
      packer.packString(text);
    }
  }

  private static String unpackOptional(MessageUnpacker unpacker) throws IOException {
    return unpacker.tryUnpackNil() ? null : unpacker.unpackString();
  }

  private static void packStrings(MessagePacker packer, List<String> texts) throws IOException {
    packer.packArrayHeader(texts.size());
    for (String text : texts) {
      packer.packString(text);
    }
  }

  private static List<String> unpackStrings(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<String> texts = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      texts.add(unpacker.unpackString());
    }
    return texts;
  }

  /**
   * Decodes a frame.
   *
   * @param bytes the encoded frame, without its length prefix
   * @return the frame, with either a request or a reply
   * @throws UndecodableException if the bytes are not a valid frame
   */
  static LinkFrame decode(byte[] bytes) throws UndecodableException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      long requestNumber = unpacker.unpackLong();
      int type = unpacker.unpackInt();
      return type < ACCEPTED
          ? new LinkFrame(requestNumber, unpackRequest(type, unpacker, bytes.length), null)
          : new LinkFrame(requestNumber, null, unpackReply(type, unpacker));
    } catch (IOException | RuntimeException error) {
      throw new UndecodableException(bytes.length + " bytes are not a valid frame", error);
    }
  }

  private static LinkRequest unpackRequest(int type, MessageUnpacker unpacker, int frameLength)
      throws IOException, UndecodableException {
    switch (type) {
      case SUBMIT:
        byte[] spec = BoundedBinary.unpack(unpacker, frameLength);
        // Earlier versions end after the specification.
        return new LinkRequest.Submit(
            SubmissionCodec.decode(spec), unpacker.hasNext() ? unpacker.unpackLong() : 0);
      case INQUIRE:
        return new LinkRequest.Inquire(unpacker.unpackString(), unpacker.unpackString());
      case CANCEL:
        return new LinkRequest.Cancel(unpacker.unpackString(), unpacker.unpackString());
      case COUNT:
        return new LinkRequest.Count(unpacker.unpackString());
      case ADVISE:
        String step = unpacker.unpackString();
        long timeoutMillis = unpacker.unpackLong();
        return new LinkRequest.Advise(step, unpackStrings(unpacker), timeoutMillis);
      case EXPLAIN:
        return new LinkRequest.Explain(unpacker.unpackString());
      case FORMER_OWNER:
        int epoch = unpacker.unpackInt();
        byte[] roster = BoundedBinary.unpack(unpacker, frameLength);
        return new LinkRequest.FormerOwner(epoch, RosterCodec.decode(roster));
      case PROVE_OWNERSHIP:
        return new LinkRequest.ProveOwnership();
      case INTRODUCE:
        // Earlier versions end after the strength or after the age.
        return new LinkRequest.Introduce(
            unpacker.unpackInt(),
            unpacker.hasNext() ? unpacker.unpackLong() : 0,
            unpacker.hasNext() ? unpacker.unpackInt() : 0);
      case PROVE_CONFIGURATION:
        return new LinkRequest.ProveConfiguration(unpacker.unpackLong());
      case FOLLOW_OWNER:
        return new LinkRequest.FollowOwner(
            unpacker.unpackInt(), unpacker.unpackString(), unpacker.unpackInt());
      case STAND_BY:
        return new LinkRequest.StandBy();
      case START_RUN:
        return unpackOrder(unpacker);
      case MEASURE_PACE:
        return new LinkRequest.MeasurePace();
      case TAKE_OVER:
        return new LinkRequest.TakeOver();
      default:
        throw new UndecodableException("unknown request type " + type, null);
    }
  }

  private static LinkReply unpackReply(int type, MessageUnpacker unpacker)
      throws IOException, UndecodableException {
    switch (type) {
      case ACCEPTED:
        return new LinkReply.Accepted();
      case REFUSED:
        // Earlier versions end after the delay.
        return new LinkReply.Refused(
            unpacker.unpackString(),
            unpacker.unpackLong(),
            unpacker.hasNext() ? unpacker.unpackInt() : 0);
      case STATE:
        return new LinkReply.State(SubmissionState.values()[unpacker.unpackInt()]);
      case NOT_KNOWN:
        return new LinkReply.NotKnown();
      case NUMBER:
        return new LinkReply.Number(unpacker.unpackInt());
      case TICKETS:
        long validMillis = unpacker.unpackLong();
        int count = unpacker.unpackMapHeader();
        Map<String, String> tickets = new HashMap<>();
        for (int index = 0; index < count; index++) {
          tickets.put(unpacker.unpackString(), unpacker.unpackString());
        }
        return new LinkReply.Tickets(tickets, validMillis);
      case LINES:
        return new LinkReply.Lines(unpackStrings(unpacker));
      case STARTED:
        // Earlier versions end after the outcome.
        return new LinkReply.Started(
            new StartAnswer(
                StartOutcome.values()[unpacker.unpackInt()],
                unpacker.hasNext() ? unpacker.unpackLong() : StartAnswer.NO_READING));
      case CONFIGURATION:
        return new LinkReply.Configuration(unpacker.unpackLong(), unpacker.unpackString());
      case NOT_OWNER:
        // Earlier versions end after the type.
        return unpacker.hasNext()
            ? new LinkReply.NotOwner(unpacker.unpackInt())
            : new LinkReply.NotOwner();
      case FAILED:
        return new LinkReply.Failed();
      case NOTED:
        return new LinkReply.Noted();
      default:
        throw new UndecodableException("unknown reply type " + type, null);
    }
  }
}
