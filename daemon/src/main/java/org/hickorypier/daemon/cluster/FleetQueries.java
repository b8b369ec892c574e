package org.hickorypier.daemon.cluster;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.smallrye.mutiny.Uni;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.hickorypier.daemon.operator.FleetRows;
import org.hickorypier.daemon.operator.FleetView;
import org.hickorypier.daemon.operator.InstanceRow;
import org.hickorypier.daemon.operator.RefusedRow;
import org.hickorypier.daemon.operator.RunningRow;
import org.hickorypier.daemon.operator.TableRow;
import org.hickorypier.daemon.operator.WaitingRow;
import org.hickorypier.daemon.operator.WorkerRow;

/**
 * Answers operator queries with the rows of all instances.
 *
 * <p>Confined to the control thread. An instance that does not answer is listed as missing; the
 * query still succeeds.
 */
public final class FleetQueries implements FleetView {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Cluster cluster;
  private final Map<String, Supplier<? extends List<?>>> localRows = new HashMap<>();

  /**
   * Creates the queries and registers the handler for queries of other instances.
   *
   * @param cluster this instance's view of the other instances
   * @param requests the dispatcher to register question handlers with
   * @param running this instance's running tasks
   * @param waiting this instance's waiting work
   * @param refused this instance's refusals
   * @param workers this instance's workers
   * @param instances this instance's localPart row
   */
  public FleetQueries(
      Cluster cluster,
      PeerRequestDispatcher requests,
      Supplier<List<RunningRow>> running,
      Supplier<List<WaitingRow>> waiting,
      Supplier<List<RefusedRow>> refused,
      Supplier<List<WorkerRow>> workers,
      Supplier<List<InstanceRow>> instances) {
    this.cluster = cluster;
    localRows.put("running", running);
    localRows.put("waiting", waiting);
    localRows.put("refused", refused);
    localRows.put("workers", workers);
    localRows.put("instances", instances);
    requests.registerQuestionHandler(QuestionKind.QUERY, this::answerLocally);
  }

  @Override
  public Uni<FleetRows<RunningRow>> running() {
    return gather("running", RunningRow.class);
  }

  @Override
  public Uni<FleetRows<WaitingRow>> waiting() {
    return gather("waiting", WaitingRow.class);
  }

  @Override
  public Uni<FleetRows<RefusedRow>> refused() {
    return gather("refused", RefusedRow.class);
  }

  @Override
  public Uni<FleetRows<WorkerRow>> workers() {
    return gather("workers", WorkerRow.class);
  }

  @Override
  public Uni<FleetRows<InstanceRow>> instances() {
    return gather("instances", InstanceRow.class);
  }

  private Uni<byte[]> answerLocally(String subject) {
    Supplier<? extends List<?>> rows = localRows.get(subject);
    if (rows == null) {
      return Uni.createFrom()
          .failure(new IllegalArgumentException("unknown query subject: " + subject));
    }
    try {
      return Uni.createFrom().item(MAPPER.writeValueAsBytes(rows.get()));
    } catch (JsonProcessingException error) {
      return Uni.createFrom().failure(error);
    }
  }

  private <T extends TableRow> Uni<FleetRows<T>> gather(String subject, Class<T> type) {
    Uni<PartialResult<T>> here =
        answerLocally(subject).map(data -> decode(cluster.localIdentity().name(), data, type));
    Uni<List<PeerReply>> elsewhere =
        cluster.askAll(cluster.liveOtherInstances(), QuestionKind.QUERY, subject);
    return Uni.combine()
        .all()
        .unis(here, elsewhere)
        .with(
            (localPart, replies) -> {
              List<PartialResult<T>> parts = new ArrayList<>();
              parts.add(localPart);
              replies.forEach(reply -> parts.add(decode(reply, type)));
              return merge(parts);
            });
  }

  private static <T> PartialResult<T> decode(PeerReply reply, Class<T> type) {
    return reply
        .data()
        .map(data -> FleetQueries.<T>decode(reply.instance(), data, type))
        .orElseGet(() -> new PartialResult<>(List.of(), List.of(reply.instance())));
  }

  private static <T> PartialResult<T> decode(String instance, byte[] data, Class<T> type) {
    try {
      List<T> rows =
          MAPPER.readValue(data, MAPPER.getTypeFactory().constructCollectionType(List.class, type));
      return new PartialResult<>(rows, List.of());
    } catch (IOException error) {
      return new PartialResult<>(List.of(), List.of(instance));
    }
  }

  private static <T extends TableRow> FleetRows<T> merge(List<PartialResult<T>> parts) {
    List<T> rows = new ArrayList<>();
    List<String> missing = new ArrayList<>();
    for (PartialResult<T> part : parts) {
      rows.addAll(part.rows());
      missing.addAll(part.missing());
    }
    return new FleetRows<>(rows, missing);
  }

  private record PartialResult<T>(List<T> rows, List<String> missing) {}
}
