package org.hickorypier.daemon.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The values of the settings with their sources, and all problems found while resolving them.
 *
 * <p>Not thread-safe: filled and read while the daemon starts.
 */
final class ResolvedSettings {

  /** The unparsed text of a setting and its source. */
  record Entry(Setting<?> setting, String text, SettingSource source) {}

  private final Map<Setting<?>, Object> values = new LinkedHashMap<>();
  private final List<Entry> entries = new ArrayList<>();
  private final List<SettingProblem> problems = new ArrayList<>();

  void parseAndAdd(Setting<?> setting, String text, SettingSource source) {
    entries.add(new Entry(setting, text, source));
    try {
      values.put(setting, setting.parser().parse(text));
    } catch (UnusableValueException error) {
      String name = source == SettingSource.ENVIRONMENT ? setting.variable() : setting.flag();
      addProblem(name, setting.maskedText(text), setting.allowed());
    }
  }

  void addProblem(String name, String value, String allowed) {
    problems.add(new SettingProblem(name, value, allowed));
  }

  boolean has(Setting<?> setting) {
    return values.containsKey(setting);
  }

  /** Returns the parsed value; the cast is safe since the setting's own parser created it. */
  @SuppressWarnings("unchecked")
  <T> T get(Setting<T> setting) {
    return (T) values.get(setting);
  }

  int getInt(Setting<Long> setting) {
    return Math.toIntExact(get(setting));
  }

  List<Entry> entries() {
    return List.copyOf(entries);
  }

  List<SettingProblem> problems() {
    return List.copyOf(problems);
  }
}
