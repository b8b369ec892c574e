package org.hickorypier.measure.start;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class StartCommandTest {

  /** Guards against figures of a program that is run otherwise than it is deployed. */
  @Test
  void commandIsTheRunLineWithOtherSettings() throws IOException {
    String deployment =
        "build = \"mvn\"\n[roles.a]\nrun = \"java -X -cp lib/* Main --settings=/a\"\n";
    assertThat(StartCommand.command(StartCommand.runLine(deployment), Path.of("/b")))
        .containsExactly("java", "-X", "-cp", "lib/*", "Main", "--settings=/b");
    assertThatThrownBy(() -> StartCommand.runLine("build = \"mvn\"\n"))
        .isInstanceOf(IOException.class);
  }

  @Test
  void threadsAreGroupedByTheirShortNames() {
    assertThat(ThreadGroup.of("C1 CompilerThre")).isEqualTo(ThreadGroup.COMPILER);
    assertThat(ThreadGroup.of("VM Thread")).isEqualTo(ThreadGroup.RUNTIME);
    assertThat(ThreadGroup.of("vert.x-eventloo")).isEqualTo(ThreadGroup.EVENT_LOOPS);
    assertThat(ThreadGroup.of("java")).isEqualTo(ThreadGroup.OTHERS);
  }

  /** Guards against a count of involuntary switches, whose line ends in the same words. */
  @Test
  void fieldIsReadByItsWholeName() {
    String status =
        "VmHWM:\t   66000 kB\nnonvoluntary_ctxt_switches:\t7\nvoluntary_ctxt_switches:\t12\n";
    assertThat(ProcessReading.field(status, "voluntary_ctxt_switches")).isEqualTo(12);
    assertThat(ProcessReading.field(status, "VmHWM")).isEqualTo(66_000);
  }
}
