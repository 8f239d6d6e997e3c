package org.fuchsiatrail.wire.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A path to a router on which open connections go silent without an end, while new ones work. It reads on, so that the
 * kernel of the sender sees nothing of the silence.
 */
final class PathWithSilence implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 * 1024;

    /** The directions in which connections go silent. */
    enum Direction {
        TO_PEER,
        FROM_PEER,
        BOTH
    }

    private final int targetPort;
    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silentSources = ConcurrentHashMap.newKeySet();
    private final Set<Socket> nearEnds = ConcurrentHashMap.newKeySet();
    private final AtomicInteger connections = new AtomicInteger();
    /** After how many bytes from the peer new connections go silent; the handshake takes 57. */
    private volatile int newConnectionBytes = Integer.MAX_VALUE;

    PathWithSilence(int targetPort) throws IOException {
        this.targetPort = targetPort;
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns how many connections were set up since the start. */
    int connections() {
        return connections.get();
    }

    /** Lets all connections that are open now go silent for good. */
    void silenceOpenConnections(Direction direction) {
        for (Socket socket : sockets) {
            boolean fromNear = nearEnds.contains(socket);
            if (direction == Direction.BOTH || fromNear == (direction == Direction.TO_PEER)) {
                silentSources.add(socket);
            }
        }
    }

    /** Lets new connections go silent after this many bytes from the peer. */
    void silenceNewConnectionsAfter(int bytes) {
        newConnectionBytes = bytes;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                Socket far = new Socket();
                far.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort));
                connections.incrementAndGet();
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                nearEnds.add(near);
                sockets.add(near);
                sockets.add(far);
                int bytes = newConnectionBytes;
                Thread.ofVirtual().start(() -> pass(near, far, Integer.MAX_VALUE));
                Thread.ofVirtual().start(() -> pass(far, near, bytes));
            } catch (IOException e) {
                // The peer refuses connections, or the path is closed.
            }
        }
    }

    private void pass(Socket from, Socket to, int bytesUntilSilence) {
        byte[] buffer = new byte[BUFFER_BYTES];
        int passed = 0;
        try {
            int length = from.getInputStream().read(buffer);
            while (length >= 0) {
                passed += length;
                if (passed > bytesUntilSilence) {
                    silentSources.add(from);
                    silentSources.add(to);
                }
                if (!silentSources.contains(from)) {
                    to.getOutputStream().write(buffer, 0, length);
                }
                length = from.getInputStream().read(buffer);
            }
        } catch (IOException e) {
            // The connection has ended.
        }
        // The end of a connection does not pass a silent direction either.
        if (!silentSources.contains(from)) {
            close(to);
        }
    }

    private void close(Socket socket) {
        sockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        sockets.forEach(this::close);
    }
}
