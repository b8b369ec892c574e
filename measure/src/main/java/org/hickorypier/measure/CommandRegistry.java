package org.hickorypier.measure;

import java.util.List;
import java.util.Optional;
import org.hickorypier.measure.control.ControlCommand;
import org.hickorypier.measure.delivery.DeliveryCommand;
import org.hickorypier.measure.start.StartCommand;
import org.hickorypier.measure.takeover.TakeoverCommand;

/**
 * All sub-commands, in the order of the help. A new command is added to the list here.
 *
 * <p>Immutable.
 */
final class CommandRegistry {

  private static final List<MeasureCommand> COMMANDS =
      List.of(
          new DecisionsCommand(),
          new WaitingCommand(),
          new PackingCommand(),
          new FairnessCommand(),
          new MemoryCommand(),
          new DeliveryCommand(),
          new TakeoverCommand(),
          new ControlCommand(),
          new StartCommand());

  private CommandRegistry() {}

  static List<MeasureCommand> all() {
    return COMMANDS;
  }

  static Optional<MeasureCommand> find(String name) {
    return COMMANDS.stream().filter(command -> command.name().equals(name)).findFirst();
  }
}
