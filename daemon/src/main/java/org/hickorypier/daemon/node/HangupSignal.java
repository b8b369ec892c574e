package org.hickorypier.daemon.node;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Runs an action on SIGHUP, which by default terminates the process.
 *
 * <p>The runtime's signal class is not a public interface, and the compiler warns about every
 * direct use of it, so this class uses reflection. Stateless.
 */
final class HangupSignal {

  private static final String SIGNAL = "sun.misc.Signal";
  private static final String HANDLER = "sun.misc.SignalHandler";

  private HangupSignal() {}

  /**
   * Installs a handler for SIGHUP.
   *
   * @param action runs on a thread of the runtime at each signal
   * @throws ReflectiveOperationException if this runtime lacks the signal class or its methods
   */
  static void onHangup(Runnable action) throws ReflectiveOperationException {
    Class<?> signal = Class.forName(SIGNAL);
    Class<?> handler = Class.forName(HANDLER);
    Object proxy =
        Proxy.newProxyInstance(
            HangupSignal.class.getClassLoader(),
            new Class<?>[] {handler},
            (self, method, arguments) -> {
              if (method.getName().equals("handle")) {
                action.run();
                return null;
              }
              return method.getName().equals("equals")
                  ? (Object) (self == arguments[0])
                  : method.getName().equals("hashCode") ? (Object) 1 : HANDLER;
            });
    Object hangup = signal.getConstructor(String.class).newInstance("HUP");
    Method handle = signal.getMethod("handle", signal, handler);
    handle.invoke(null, hangup, proxy);
  }
}
