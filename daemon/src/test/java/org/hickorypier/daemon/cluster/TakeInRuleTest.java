package org.hickorypier.daemon.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.hickorypier.core.membership.FormerHomes;
import org.hickorypier.daemon.cluster.TakeInRule.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a home does with work that another instance may have taken in before. */
class TakeInRuleTest {

  private static final FormerHomes ONE = new FormerHomes(Set.of("entry-1"), false, true);

  @ParameterizedTest
  @CsvSource({
    "NEVER_TAKEN,             false, true,  RUN",
    "NEVER_TAKEN,             false, false, WAIT",
    "NEVER_TAKEN INCOMPLETE,  true,  true,  WAIT",
    "INCOMPLETE KNOWN,        true,  true,  JOIN",
    "NOT_RUNNING,             true,  true,  RUN_AFTER_EARLIER_TRY",
    "'',                      true,  true,  RUN_AFTER_EARLIER_TRY",
  })
  void answersOfTheOthersDecide(String replies, boolean all, boolean complete, Step step) {
    assertThat(TakeInRule.decide(ONE, all, complete, replies(replies))).isEqualTo(step);
  }

  /** Guards against a second run of what an earlier life of the former home left to others. */
  @Test
  void formerHomeThatCannotAnswerForAllItsTimeIsNotEnough() {
    assertThat(TakeInRule.decide(ONE, false, true, replies("NOT_RUNNING"))).isEqualTo(Step.ASK_ALL);
  }

  /** Guards against "not run" by a home whose own earlier life may have run the request. */
  @Test
  void ownEarlierLifeIsAnEarlierTry() {
    FormerHomes own = new FormerHomes(Set.of(), true, true);

    assertThat(TakeInRule.decide(own, true, true, replies("NEVER_TAKEN")))
        .isEqualTo(Step.RUN_AFTER_EARLIER_TRY);
  }

  /** Guards against "not run" by an instance that does not know who was home before. */
  @Test
  void unknownPastIsAnEarlierTry() {
    FormerHomes unknown = new FormerHomes(Set.of(), false, false);

    assertThat(TakeInRule.decide(unknown, true, true, replies("NEVER_TAKEN")))
        .isEqualTo(Step.RUN_AFTER_EARLIER_TRY);
  }

  @Test
  void answerThatCannotBeReadSaysNothing() {
    PeerReply odd = new PeerReply("entry-1", Optional.of(new byte[] {'?'}));

    assertThat(KnowsReply.of(odd).knowledge()).isEqualTo(WorkKnowledge.INCOMPLETE);
  }

  private static List<KnowsReply> replies(String knowledge) {
    Stream<String> words = Arrays.stream(knowledge.split(" ")).filter(word -> !word.isEmpty());
    return words.map(word -> new KnowsReply("entry-1", WorkKnowledge.valueOf(word), 0)).toList();
  }
}
