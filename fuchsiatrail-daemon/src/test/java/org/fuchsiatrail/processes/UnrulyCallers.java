package org.fuchsiatrail.processes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Callers that stay within the limits of a single request, or exceed them, and stay open without an end. */
final class UnrulyCallers implements AutoCloseable {

    /** The default limit of a body. */
    private static final int LARGEST_BODY = 8 * 1024 * 1024;

    private static final byte[] BODY = new byte[LARGEST_BODY];
    private static final int CHUNK = 1_000;
    private static final int REQUESTS_AHEAD = 20_000;
    private static final int FIELDS = 3_200;
    private static final int RECEIVE_BUFFER = 4_096;

    /** What each caller does. */
    enum Kind {
        /** Sends a body of the largest size at once, except for its last bytes. */
        WHOLE_BODY_STOPPING_SHORT,
        /** Sends a body of the largest size in chunks, without the last one. */
        CHUNKS_STOPPING_SHORT,
        /** Sends chunks far over the limit. */
        CHUNKS_OVER_LIMIT,
        /** Sends a head within the limits of very many short fields, and stops short of its end. */
        MANY_FIELDS_STOPPING_SHORT,
        /** Sends many short requests ahead and reads no response. */
        REQUESTS_AHEAD
    }

    private final List<Socket> sockets = new ArrayList<>();
    private final CountDownLatch sent;

    UnrulyCallers(int callers, Kind kind, int port, String path) throws IOException {
        sent = new CountDownLatch(callers);
        for (int number = 0; number < callers; number++) {
            Socket socket = new Socket();
            socket.setReceiveBufferSize(RECEIVE_BUFFER);
            socket.connect(new InetSocketAddress("127.0.0.1", port));
            sockets.add(socket);
            Thread.ofVirtual().start(() -> {
                try {
                    send(kind, socket, path);
                } catch (IOException e) {
                    // The router may refuse such a caller and close its connection.
                    return;
                } finally {
                    sent.countDown();
                }
            });
        }
    }

    /** Waits until each caller has sent what it sends, is closed by the router, or cannot send more. */
    void awaitSent(long seconds) throws InterruptedException {
        sent.await(seconds, TimeUnit.SECONDS);
    }

    private static void send(Kind kind, Socket socket, String path) throws IOException {
        switch (kind) {
            case WHOLE_BODY_STOPPING_SHORT -> {
                write(socket, head("POST", path, "Content-Length: " + LARGEST_BODY) + "\r\n", 1);
                socket.getOutputStream().write(BODY, 0, LARGEST_BODY - 10);
            }
            case CHUNKS_STOPPING_SHORT -> {
                write(socket, head("POST", path, "Transfer-Encoding: chunked") + "\r\n", 1);
                write(socket, chunk(), LARGEST_BODY / CHUNK - 1);
            }
            case CHUNKS_OVER_LIMIT -> {
                write(socket, head("POST", path, "Transfer-Encoding: chunked") + "\r\n", 1);
                write(socket, chunk(), 20 * (LARGEST_BODY / CHUNK));
            }
            case MANY_FIELDS_STOPPING_SHORT ->
                write(socket, head("POST", path, "Content-Length: 9") + "a:\r\n".repeat(FIELDS), 1);
            default -> write(socket, head("GET", path, "Content-Length: 0") + "\r\n", REQUESTS_AHEAD);
        }
    }

    private static String chunk() {
        return Integer.toHexString(CHUNK) + "\r\n" + "x".repeat(CHUNK) + "\r\n";
    }

    private static String head(String method, String path, String field) {
        return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n" + field + "\r\n";
    }

    private static void write(Socket socket, String text, int times) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int number = 0; number < times; number++) {
            socket.getOutputStream().write(bytes);
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
