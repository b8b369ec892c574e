package org.hickorypier.language;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** Parses the statements that change something. Not thread safe: made for one statement. */
final class ChangeParser {

  private static final double SMALLEST_SHARE = 0.001;
  private static final double LARGEST_SHARE = 1_000_000;
  private static final int LARGEST_LIMIT = 10_000_000;
  private static final long LARGEST_REVISION = 1_000_000_000_000L;
  private static final String BASIS_OR_END = "'at' or the end";
  private static final String SHARE_RANGE =
      "a number from "
          + DecimalNumber.print(SMALLEST_SHARE)
          + " to "
          + DecimalNumber.print(LARGEST_SHARE);

  private final TokenReader reader;

  ChangeParser(TokenReader reader) {
    this.reader = reader;
  }

  Statement create() throws StatementSyntaxException {
    reader.expect("team");
    final String team = reader.name("a team's name");
    reader.expect("share");
    double share = share();
    reader.expect("limit");
    int limit = limit();
    reader.expectEnd("the end");
    return new Statement.CreateTeam(team, share, limit);
  }

  Statement set() throws StatementSyntaxException {
    reader.expect("team");
    final String team = reader.name("a team's name");
    OptionalDouble share = OptionalDouble.empty();
    OptionalInt limit = OptionalInt.empty();
    if (reader.take("share")) {
      share = OptionalDouble.of(share());
    }
    if (reader.take("limit")) {
      limit = OptionalInt.of(limit());
    }
    if (share.isEmpty() && limit.isEmpty()) {
      throw reader.expected("one of share, limit");
    }
    OptionalLong basis = basis();
    boolean limitMayFollow = limit.isEmpty() && basis.isEmpty();
    reader.expectEnd(limitMayFollow ? "'limit', 'at' or the end" : endAfter(basis));
    return new Statement.SetTeam(team, share, limit, basis);
  }

  Statement give() throws StatementSyntaxException {
    reader.expect("key");
    reader.expect("to");
    boolean toTeam = reader.oneOf(List.of("team", "operators")).equals("team");
    Optional<String> team = toTeam ? Optional.of(reader.name("a team's name")) : Optional.empty();
    reader.expectEnd("the end");
    return new Statement.GiveKey(team);
  }

  Statement withdraw() throws StatementSyntaxException {
    reader.expect("key");
    String keyId = reader.name("a key's id");
    OptionalLong basis = basis();
    reader.expectEnd(endAfter(basis));
    return new Statement.WithdrawKey(keyId, basis);
  }

  Statement drain(boolean draining) throws StatementSyntaxException {
    List<String> targets = List.of(DrainTarget.INSTANCE.word(), DrainTarget.WORKER.word());
    DrainTarget target = DrainTarget.values()[targets.indexOf(reader.oneOf(targets))];
    String name = reader.name("the name of the " + target.word());
    OptionalLong basis = basis();
    reader.expectEnd(endAfter(basis));
    return new Statement.Drain(target, name, draining, basis);
  }

  Statement cancel() throws StatementSyntaxException {
    final String team = reader.name("a team's name");
    reader.expectSymbol("/");
    String requestId = reader.name("a request id");
    reader.expectEnd("the end");
    return new Statement.Cancel(team, requestId);
  }

  private double share() throws StatementSyntaxException {
    String text = reader.next().text();
    boolean isNumber = reader.next().kind() == TokenKind.WORD && DecimalNumber.matches(text);
    double share = isNumber ? Double.parseDouble(text) : 0;
    if (share < SMALLEST_SHARE || share > LARGEST_SHARE) {
      throw reader.expected(SHARE_RANGE);
    }
    reader.skip();
    return share;
  }

  private int limit() throws StatementSyntaxException {
    return (int) reader.wholeNumber(0, LARGEST_LIMIT);
  }

  private OptionalLong basis() throws StatementSyntaxException {
    if (!reader.take("at")) {
      return OptionalLong.empty();
    }
    reader.expect("revision");
    return OptionalLong.of(reader.wholeNumber(0, LARGEST_REVISION));
  }

  private static String endAfter(OptionalLong basis) {
    return basis.isPresent() ? "the end" : BASIS_OR_END;
  }
}
