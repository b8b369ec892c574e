package org.hickorypier.cli;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.hickorypier.language.Column;
import org.hickorypier.language.StatementHelp;
import org.hickorypier.language.Subject;

/** Writes the completion of statements for bash. Stateless. */
final class CompletionScript {

  static final String VERB = "completion";

  private static final String HEAD =
      """
      # Completion of hickory for bash: source <(hickory completion)
      _hickory() {
        local current="${COMP_WORDS[COMP_CWORD]}" previous="${COMP_WORDS[COMP_CWORD-1]}"
        local verb="" subject="" choices="" index word
        for ((index = 1; index < COMP_CWORD; index++)); do
          word="${COMP_WORDS[index]}"
          case "$word" in
            --server|--key|--output|--change-id) index=$((index + 1)) ;;
            --*) ;;
            *) if [[ -z "$verb" ]]; then verb="$word"; elif [[ -z "$subject" ]]; then subject="$word"; fi ;;
          esac
        done
      """;

  private static final String TAIL =
      """
        COMPREPLY=($(compgen -W "$choices" -- "$current"))
      }
      complete -F _hickory hickory
      """;

  private static final String AFTER_SUBJECT = "where order by limit and desc asc";

  String text() {
    return HEAD + byPreviousWord() + bySubject() + byVerb() + TAIL;
  }

  private static String byPreviousWord() {
    String subjects =
        Arrays.stream(Subject.values()).map(Subject::word).collect(Collectors.joining(" "));
    return "  case \"$previous\" in\n"
        + choice("--output", "table json")
        + choice("show|count", subjects)
        + choice("create|set", "team")
        + choice("give|withdraw", "key")
        + choice("to", "team operators")
        + choice("drain|undrain", "instance worker")
        + choice("at", "revision")
        + choice("order", "by");
  }

  private static String bySubject() {
    StringBuilder text = new StringBuilder("    where|and|by|,)\n      case \"$subject\" in\n");
    for (Subject subject : Subject.values()) {
      String columns =
          subject.columns().stream().map(Column::name).collect(Collectors.joining(" "));
      text.append("    ").append(choice(subject.word(), columns));
    }
    return text.append("      esac ;;\n").toString();
  }

  private static String byVerb() {
    String verbs =
        Arrays.stream(StatementHelp.values())
            .map(StatementHelp::verb)
            .collect(Collectors.joining(" "));
    return "    *)\n      case \"$verb\" in\n"
        + "    "
        + choice("\"\"", verbs + " help " + InvocationReader.flags())
        + "    "
        + choice(HelpPrinter.VERB, verbs)
        + "    "
        + choice("show|count", AFTER_SUBJECT)
        + "    "
        + choice("create|set", "share limit at")
        + "      esac ;;\n  esac\n";
  }

  private static String choice(String pattern, String words) {
    return "    " + pattern + ") choices=\"" + words + "\" ;;\n";
  }
}
