package org.hickorypier.daemon.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.UUID;
import java.util.regex.Pattern;
import org.hickorypier.language.Statement;
import org.hickorypier.language.StatementPrinter;

/**
 * The id under which a change takes effect once. Immutable.
 *
 * <p>It is made of the id that the operator's client sent and of the statement. With the client's
 * id alone, an operator who gave an old id to a new statement would be told that it was accepted,
 * although nothing had changed.
 */
record ChangeId(String text) {

  private static final Pattern GIVEN = Pattern.compile("[A-Za-z0-9-]{1,64}");
  private static final int STATEMENT_BYTES = 8;

  static boolean isUsable(String given) {
    return GIVEN.matcher(given).matches();
  }

  static ChangeId of(Optional<String> given, Statement statement) {
    String client = given.orElseGet(() -> UUID.randomUUID().toString());
    return new ChangeId(client + "." + digest(new StatementPrinter().print(statement)));
  }

  private static String digest(String statement) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(statement.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest, 0, STATEMENT_BYTES);
    } catch (NoSuchAlgorithmException error) {
      throw new IllegalStateException("every Java platform has SHA-256", error);
    }
  }
}
