package org.hickorypier.language;

import java.math.BigDecimal;
import java.util.regex.Pattern;

/** The plain decimal numbers of the language. Stateless. */
final class DecimalNumber {

  private static final Pattern PATTERN = Pattern.compile("-?[0-9]{1,18}(\\.[0-9]{1,9})?");

  private DecimalNumber() {}

  static boolean matches(String text) {
    return PATTERN.matcher(text).matches();
  }

  static String print(double number) {
    return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }
}
