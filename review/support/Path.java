import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A path to a server, with an address of its own; while it hangs, bytes and new connections wait. */
final class Path {

    private static final int BUFFER_BYTES = 16_384;
    private static final long CHECK_MILLIS = 10;

    private final ServerSocket listener;
    private final int targetPort;
    private volatile boolean hanging;

    Path(int targetPort) throws IOException {
        this.targetPort = targetPort;
        this.listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        Thread.startVirtualThread(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    void setHanging(boolean hangs) {
        hanging = hangs;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                Thread.startVirtualThread(() -> connect(near));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket near) {
        awaitOpen();
        try {
            Socket far = new Socket(InetAddress.getLoopbackAddress(), targetPort);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Thread.startVirtualThread(() -> pass(far, near));
            pass(near, far);
        } catch (IOException e) {
            close(near);
        }
    }

    private void pass(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            for (int length = from.getInputStream().read(buffer);
                    length >= 0;
                    length = from.getInputStream().read(buffer)) {
                awaitOpen();
                to.getOutputStream().write(buffer, 0, length);
            }
            awaitOpen();
            to.shutdownOutput();
        } catch (IOException e) {
            close(from);
            close(to);
        }
    }

    private void awaitOpen() {
        while (hanging) {
            Engine.pause(CHECK_MILLIS);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
