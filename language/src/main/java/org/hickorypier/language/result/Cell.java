package org.hickorypier.language.result;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.math.BigDecimal;

/** One cell of a table, in JSON a text or a number. Immutable. */
public sealed interface Cell {

  /**
   * Returns a cell of text.
   *
   * @param text the text
   * @return the cell
   */
  static Cell of(String text) {
    return new Text(text);
  }

  /**
   * Returns a cell of a number.
   *
   * @param number the number
   * @return the cell
   */
  static Cell of(double number) {
    return new Quantity(number);
  }

  /**
   * Turns the JSON value back.
   *
   * @param value a text or a number
   * @return the cell
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  static Cell fromJson(Object value) {
    return value instanceof Number number ? of(number.doubleValue()) : of(String.valueOf(value));
  }

  /**
   * Returns the text shown in tables.
   *
   * @return the text
   */
  String shown();

  /**
   * A text.
   *
   * @param text the text
   */
  record Text(@JsonValue String text) implements Cell {
    @Override
    public String shown() {
      return text;
    }
  }

  /**
   * A number.
   *
   * @param number the number
   */
  record Quantity(double number) implements Cell {
    @Override
    public String shown() {
      return plain().toPlainString();
    }

    /**
     * Returns the number without a fraction of zeros.
     *
     * @return the number
     */
    @JsonValue
    public BigDecimal plain() {
      BigDecimal stripped = BigDecimal.valueOf(number).stripTrailingZeros();
      return stripped.scale() < 0 ? stripped.setScale(0) : stripped;
    }
  }
}
