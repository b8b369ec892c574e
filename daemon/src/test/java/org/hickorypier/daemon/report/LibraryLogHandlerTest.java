package org.hickorypier.daemon.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LibraryLogHandlerTest {

  private final List<String> lines = new ArrayList<>();

  @AfterEach
  void restoreLogConfiguration() throws Exception {
    LogManager.getLogManager().readConfiguration();
  }

  @Test
  void warningOfLibraryIsLoggedAsEvent() {
    LibraryLogHandler.install((part, event, fields) -> lines.add(part + " " + List.of(fields)));
    Logger logger = Logger.getLogger("a.library");
    logger.log(Level.SEVERE, "connection reset", new IllegalStateException("broken"));
    logger.info("of no interest");
    assertThat(lines).hasSize(1);
    assertThat(lines.get(0))
        .startsWith("library")
        .contains("SEVERE", "a.library", "connection reset", "broken");
  }
}
