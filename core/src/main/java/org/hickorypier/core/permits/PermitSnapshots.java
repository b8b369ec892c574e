package org.hickorypier.core.permits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.hickorypier.wire.record.PermitRecord.AdoptionEntry;
import org.hickorypier.wire.record.PermitRecord.HoldEntry;
import org.hickorypier.wire.record.PermitRecord.HolderEntry;
import org.hickorypier.wire.record.PermitRecord.Snapshot;
import org.hickorypier.wire.record.PermitRecord.TeamEntry;
import org.hickorypier.wire.record.PermitRecord.WorkerEntry;

/** Converts between permit states and snapshot records. Stateless and thread-safe. */
public final class PermitSnapshots {

  private PermitSnapshots() {}

  /**
   * Converts a state into a snapshot record.
   *
   * @param id the id of the record
   * @param state the state
   * @return the snapshot record
   */
  public static Snapshot write(String id, PermitState state) {
    List<TeamEntry> teams =
        state.teams().entrySet().stream()
            .sorted(Map.Entry.comparingByKey())
            .map(entry -> teamEntry(entry.getKey(), entry.getValue()))
            .toList();
    List<HolderEntry> holders =
        state.sequences().entrySet().stream()
            .sorted(Map.Entry.comparingByKey())
            .map(entry -> holderEntry(entry.getKey(), entry.getValue()))
            .toList();
    List<HolderEntry> fenced =
        state.fenced().entrySet().stream()
            .sorted(Map.Entry.comparingByKey())
            .map(
                entry ->
                    new HolderEntry(
                        entry.getKey(), entry.getValue().number(), 0, entry.getValue().offset()))
            .toList();
    List<WorkerEntry> workers =
        state.workers().entrySet().stream()
            .sorted(Map.Entry.comparingByKey())
            .map(entry -> workerEntry(entry.getKey(), entry.getValue()))
            .toList();
    return new Snapshot(id, state.offset(), teams, holders, fenced, workers);
  }

  private static TeamEntry teamEntry(String name, TeamPermits team) {
    List<HoldEntry> holds =
        team.holds().entrySet().stream()
            .sorted(Map.Entry.comparingByKey())
            .map(
                entry ->
                    new HoldEntry(
                        entry.getKey().instance(),
                        entry.getKey().incarnation(),
                        entry.getValue().count(),
                        entry.getValue().raisedAt()))
            .toList();
    return new TeamEntry(name, team.revision(), team.limit(), holds);
  }

  private static WorkerEntry workerEntry(String name, WorkerAdoptions worker) {
    List<AdoptionEntry> adoptions =
        worker.adopters().entrySet().stream()
            .sorted(Map.Entry.comparingByKey())
            .map(
                entry ->
                    new AdoptionEntry(
                        entry.getKey().instance(),
                        entry.getKey().incarnation(),
                        entry.getValue().instance(),
                        entry.getValue().incarnation()))
            .toList();
    return new WorkerEntry(
        name,
        worker.token(),
        worker.controller().instance(),
        worker.controller().incarnation(),
        worker.offset(),
        adoptions);
  }

  private static HolderEntry holderEntry(Holder holder, NumberAtOffset sequence) {
    return new HolderEntry(
        holder.instance(), holder.incarnation(), sequence.number(), sequence.offset());
  }

  static boolean isComplete(Snapshot snapshot) {
    return snapshot.teams() != null
        && snapshot.holders() != null
        && snapshot.fenced() != null
        && snapshot.workers() != null
        && snapshot.teams().stream().allMatch(PermitSnapshots::isComplete)
        && snapshot.holders().stream().allMatch(PermitSnapshots::isComplete)
        && snapshot.fenced().stream().allMatch(PermitSnapshots::isComplete)
        && snapshot.workers().stream().allMatch(PermitSnapshots::isComplete);
  }

  private static boolean isComplete(WorkerEntry entry) {
    return entry != null
        && entry.worker() != null
        && entry.instance() != null
        && entry.adoptions() != null
        && entry.adoptions().stream()
            .allMatch(
                adoption ->
                    adoption != null
                        && adoption.ownerInstance() != null
                        && adoption.adopterInstance() != null);
  }

  private static boolean isComplete(TeamEntry entry) {
    return entry != null
        && entry.team() != null
        && entry.holds() != null
        && entry.holds().stream()
            .allMatch(hold -> hold != null && hold.instance() != null && hold.count() >= 0);
  }

  private static boolean isComplete(HolderEntry entry) {
    return Objects.nonNull(entry) && entry.instance() != null;
  }

  static PermitState read(Snapshot snapshot) {
    Map<String, TeamPermits> teams = new HashMap<>();
    for (TeamEntry entry : snapshot.teams()) {
      Map<Holder, HeldPermits> holds = new HashMap<>();
      for (HoldEntry hold : entry.holds()) {
        holds.put(
            new Holder(hold.instance(), hold.incarnation()),
            new HeldPermits(hold.count(), hold.raisedAt()));
      }
      int sum = holds.values().stream().mapToInt(HeldPermits::count).sum();
      teams.put(entry.team(), new TeamPermits(entry.revision(), entry.limit(), holds, sum));
    }
    Map<Holder, NumberAtOffset> sequences = new HashMap<>();
    for (HolderEntry entry : snapshot.holders()) {
      sequences.put(
          new Holder(entry.instance(), entry.incarnation()),
          new NumberAtOffset(entry.sequence(), entry.offset()));
    }
    Map<String, NumberAtOffset> fenced = new HashMap<>();
    for (HolderEntry entry : snapshot.fenced()) {
      fenced.put(entry.instance(), new NumberAtOffset(entry.incarnation(), entry.offset()));
    }
    return new PermitState(
        snapshot.upTo(), teams, sequences, fenced, readWorkers(snapshot.workers()));
  }

  private static Map<String, WorkerAdoptions> readWorkers(List<WorkerEntry> entries) {
    Map<String, WorkerAdoptions> workers = new HashMap<>();
    for (WorkerEntry entry : entries) {
      Map<Holder, Holder> adopters = new HashMap<>();
      for (AdoptionEntry adoption : entry.adoptions()) {
        adopters.put(
            new Holder(adoption.ownerInstance(), adoption.ownerIncarnation()),
            new Holder(adoption.adopterInstance(), adoption.adopterIncarnation()));
      }
      Holder controller = new Holder(entry.instance(), entry.incarnation());
      workers.put(
          entry.worker(), new WorkerAdoptions(entry.token(), controller, entry.offset(), adopters));
    }
    return workers;
  }
}
