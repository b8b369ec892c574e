package org.hickorypier.daemon.job;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.caller.DenialKind;
import org.hickorypier.daemon.caller.DeniedException;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.daemon.work.Submission;
import org.hickorypier.daemon.work.WorkResult;
import org.junit.jupiter.api.Test;

/** What an instance says of work that its journal does not hold. */
class JobServiceTest {

  private static final WorkKey KEY = new WorkKey("norte", "r1");

  private JournalReading reading = JournalReading.CURRENT;
  private final JobService jobs =
      new JobService(new JournalService(), null, null, new ManualTimerService(), () -> reading);

  /** Guards against 404 for an accepted job by an instance that has just started. */
  @Test
  void jobIsNotSaidToBeUnknownBeforeTheJournalIsRead() {
    reading = JournalReading.BEHIND;
    assertThat(denial().kind()).isEqualTo(DenialKind.UNAVAILABLE);
    assertThat(denial().kind().outcome()).isEqualTo(Outcome.UNKNOWN);

    reading = JournalReading.CURRENT;
    assertThat(denial().kind()).isEqualTo(DenialKind.NOT_FOUND);
  }

  /** Guards against "not run" by an instance that cannot have read of an earlier try. */
  @Test
  void requestIsNotCalledNotRunWhileTheLogIsSilent() {
    reading = JournalReading.SILENT;

    assertThat(runOnce()).isInstanceOf(WorkResult.Unsettled.class);
    assertThat(runOnce().refusal().orElseThrow().reason()).isEqualTo(RefusalReason.LOG_SILENT);
  }

  @Test
  void requestIsToBeTriedAgainWhileTheJournalIsRead() {
    reading = JournalReading.BEHIND;

    assertThat(runOnce()).isInstanceOf(WorkResult.Unsettled.class);
    assertThat(runOnce().refusal().orElseThrow().reason()).isEqualTo(RefusalReason.NOT_READY);
  }

  private DeniedException denial() {
    return catchThrowableOfType(DeniedException.class, () -> jobs.find(KEY));
  }

  private WorkResult runOnce() {
    List<WorkResult> answers = new ArrayList<>();
    WorkItem item =
        new WorkItem(
            KEY, WorkClass.REQUEST, "", new Resources(100, 64, 0), 1, false, 0, 5_000, 100);
    jobs.runOnce(new Submission(item, new byte[0]), answers::add);
    assertThat(answers).hasSize(1);
    return answers.get(0);
  }
}
