package org.hickorypier.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Draws bars as SVG, for reports.
 *
 * <p>Not thread safe.
 */
final class BarChart {

  private static final int WIDTH = 640;
  private static final int ROW = 22;
  private static final int LEFT = 160;
  private static final int TOP = 40;
  private static final int BAR = 400;

  private record Bar(String label, double value) {}

  private final String title;
  private final List<Bar> bars = new ArrayList<>();

  BarChart(String title) {
    this.title = title;
  }

  void bar(String label, double value) {
    bars.add(new Bar(label, value));
  }

  String svg() {
    double most = bars.stream().mapToDouble(Bar::value).max().orElse(1);
    int height = TOP + ROW * bars.size() + ROW;
    StringBuilder svg = new StringBuilder();
    svg.append(
        String.format(
            Locale.ROOT,
            "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' "
                + "font-family='sans-serif' font-size='12'>%n",
            WIDTH,
            height));
    svg.append(String.format(Locale.ROOT, "<text x='10' y='22'>%s</text>%n", escape(title)));
    for (int i = 0; i < bars.size(); i++) {
      svg.append(row(bars.get(i), TOP + i * ROW, most));
    }
    return svg.append("</svg>\n").toString();
  }

  private static String row(Bar bar, int y, double most) {
    double width = most == 0 ? 0 : BAR * bar.value() / most;
    return String.format(
        Locale.ROOT,
        "<text x='10' y='%d'>%s</text><rect x='%d' y='%d' width='%.1f' height='14' "
            + "fill='#4477aa'/><text x='%.1f' y='%d'>%.4g</text>%n",
        y + 12,
        escape(bar.label()),
        LEFT,
        y,
        width,
        LEFT + width + 6,
        y + 12,
        bar.value());
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;");
  }
}
