package org.hickorypier.daemon.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.hickorypier.core.membership.FormerHomes;
import org.hickorypier.daemon.cluster.AdmissionRule.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what a home does with work that another instance may have accepted before. */
class AdmissionRuleTest {

  private static final FormerHomes ONE_FORMER_HOME =
      new FormerHomes(Set.of("entry-1"), false, true);

  @ParameterizedTest
  @CsvSource({
    "NEVER_TAKEN,             false, true,  RUN",
    "NEVER_TAKEN,             false, false, WAIT",
    "NEVER_TAKEN INCOMPLETE,  true,  true,  WAIT",
    "INCOMPLETE KNOWN,        true,  true,  JOIN",
    "NOT_RUNNING,             true,  true,  RUN_AFTER_EARLIER_TRY",
    "'',                      true,  true,  RUN_AFTER_EARLIER_TRY",
  })
  void decidesFromRepliesOfOtherInstances(
      String replies, boolean all, boolean complete, Step step) {
    assertThat(AdmissionRule.decide(ONE_FORMER_HOME, all, complete, replies(replies)))
        .isEqualTo(step);
  }

  /**
   * Guards against a second run of work that other instances adopted from an earlier incarnation of
   * the former home.
   */
  @Test
  void asksAllInstancesWhenFormerHomeMayHaveRestarted() {
    assertThat(AdmissionRule.decide(ONE_FORMER_HOME, false, true, replies("NOT_RUNNING")))
        .isEqualTo(Step.ASK_ALL);
  }

  /**
   * Guards against a "not run" answer by a home whose earlier incarnation may have run the request.
   */
  @Test
  void treatsOwnEarlierIncarnationAsEarlierTry() {
    FormerHomes own = new FormerHomes(Set.of(), true, true);

    assertThat(AdmissionRule.decide(own, true, true, replies("NEVER_TAKEN")))
        .isEqualTo(Step.RUN_AFTER_EARLIER_TRY);
  }

  /** Guards against a "not run" answer by an instance that does not know the former homes. */
  @Test
  void treatsIncompleteHistoryAsEarlierTry() {
    FormerHomes unknown = new FormerHomes(Set.of(), false, false);

    assertThat(AdmissionRule.decide(unknown, true, true, replies("NEVER_TAKEN")))
        .isEqualTo(Step.RUN_AFTER_EARLIER_TRY);
  }

  /** Guards against reading a reply of another version as knowledge about the work. */
  @Test
  void treatsUndecodableReplyAsIncomplete() {
    PeerReply undecodable = new PeerReply("entry-1", Optional.of(new byte[] {'?'}));

    assertThat(WorkKnowledgeReply.of(undecodable).knowledge()).isEqualTo(WorkKnowledge.INCOMPLETE);
  }

  private static List<WorkKnowledgeReply> replies(String knowledge) {
    Stream<String> words = Arrays.stream(knowledge.split(" ")).filter(word -> !word.isEmpty());
    return words
        .map(word -> new WorkKnowledgeReply("entry-1", WorkKnowledge.valueOf(word), 0))
        .toList();
  }
}
