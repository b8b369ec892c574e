package org.hickorypier.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CompletionScriptTest {

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          hickory sh                              | show
          hickory --output js                     | json
          hickory --server a:1 --wait dra         | drain
          hickory show r                          | running refused
          hickory --output json count running by c| class
          hickory show teams where l              | limit
          hickory show waiting where class = urgent order by a | accelerators age-seconds
          hickory help und                        | undrain
          hickory give key to o                   | operators
          hickory withdraw key k1 a               | ''
          hickory --ke                            | --keep-going --key
          """)
  void completes(String line, String choices) throws IOException, InterruptedException {
    String[] words = line.split(" ");
    String script =
        new CompletionScript().text()
            + "COMP_WORDS=("
            + line.replace("=", "'='")
            + ")\nCOMP_CWORD="
            + (words.length - 1)
            + "\n_hickory\necho \"${COMPREPLY[*]}\"\n";

    assertThat(bash(script).split(" ")).containsExactlyInAnyOrder(choices.split(" "));
  }

  private static String bash(String script) throws IOException, InterruptedException {
    Process process = new ProcessBuilder("bash", "-c", script).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertThat(process.waitFor()).isZero();
    return output.strip();
  }
}
