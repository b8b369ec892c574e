package org.hickorypier.measure.control;

import java.util.List;

/**
 * A plane fitted to points: base + first * x + second * y.
 *
 * <p>Immutable.
 *
 * @param base the value at zero
 * @param first the slope over x
 * @param second the slope over y
 * @param residual the largest distance of a point from the plane
 */
record LeastSquares(double base, double first, double second, double residual) {

  /** The unknowns of the plane. */
  static final int UNKNOWNS = 3;

  /** Below this a pivot is taken for zero, and the points do not fix a plane. */
  private static final double SINGULAR = 1e-9;

  /** One measured value. */
  record Point(double x, double y, double value) {}

  /** Fits the plane; the slopes are not numbers if the points lie on one line. */
  static LeastSquares fit(List<Point> points) {
    double[][] normal = new double[UNKNOWNS][UNKNOWNS + 1];
    for (Point point : points) {
      double[] row = {1, point.x, point.y, point.value};
      for (int i = 0; i < UNKNOWNS; i++) {
        for (int j = 0; j <= UNKNOWNS; j++) {
          normal[i][j] += row[i] * row[j];
        }
      }
    }
    double[] solved = solve(normal);
    double residual = 0;
    for (Point point : points) {
      double fitted = solved[0] + solved[1] * point.x + solved[2] * point.y;
      residual = Math.max(residual, Math.abs(fitted - point.value));
    }
    return new LeastSquares(solved[0], solved[1], solved[2], residual);
  }

  /** Gauss-Jordan elimination with row exchange. */
  private static double[] solve(double[][] rows) {
    for (int column = 0; column < UNKNOWNS; column++) {
      int best = column;
      for (int row = column + 1; row < UNKNOWNS; row++) {
        if (Math.abs(rows[row][column]) > Math.abs(rows[best][column])) {
          best = row;
        }
      }
      double[] pivot = rows[best];
      rows[best] = rows[column];
      rows[column] = pivot;
      if (Math.abs(pivot[column]) < SINGULAR) {
        return new double[] {Double.NaN, Double.NaN, Double.NaN};
      }
      for (int row = 0; row < UNKNOWNS; row++) {
        double factor = row == column ? 0 : rows[row][column] / pivot[column];
        for (int j = column; j <= UNKNOWNS; j++) {
          rows[row][j] -= factor * pivot[j];
        }
      }
    }
    double[] solved = new double[UNKNOWNS];
    for (int row = 0; row < UNKNOWNS; row++) {
      solved[row] = rows[row][UNKNOWNS] / rows[row][row];
    }
    return solved;
  }
}
