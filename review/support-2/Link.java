import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A path from one process to another, whose open connections may go silent for good while new ones work. */
final class Link {

    private static final int BUFFER_BYTES = 16 * 1024;

    private final int targetPort;
    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Link(String targetAddress) throws IOException {
        targetPort = Integer.parseInt(targetAddress.substring(targetAddress.indexOf(':') + 1));
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Lets the connections that are open now go silent; returns how many. */
    int silenceOpenConnections() {
        silent.addAll(open);
        return silent.size() / 2;
    }

    /** How many connections are open and not silent. */
    int working() {
        return (int) open.stream().filter(socket -> !silent.contains(socket)).count() / 2;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                Thread.ofVirtual().start(() -> connect(near));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket near) {
        try {
            near.setTcpNoDelay(true);
            Socket far = new Socket("127.0.0.1", targetPort);
            far.setTcpNoDelay(true);
            open.add(near);
            open.add(far);
            Thread.ofVirtual().start(() -> pass(far, near));
            pass(near, far);
        } catch (IOException e) {
            end(near);
        }
    }

    private void pass(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            for (int length = from.getInputStream().read(buffer);
                    length >= 0;
                    length = from.getInputStream().read(buffer)) {
                if (silent.contains(from)) {
                    return;
                }
                to.getOutputStream().write(buffer, 0, length);
            }
        } catch (IOException e) {
            // The connection has ended.
        }
        if (!silent.contains(from)) {
            end(from);
            end(to);
        }
    }

    private void end(Socket socket) {
        open.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
