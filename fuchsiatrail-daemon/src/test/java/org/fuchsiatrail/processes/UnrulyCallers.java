package org.fuchsiatrail.processes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
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
    private static final int SMALL_PIECE = 1_400;
    private static final int SINGLE_BYTES = 100_000;
    private static final int REQUESTS_AHEAD = 20_000;
    private static final int LARGE_REQUESTS_AHEAD = 40;
    private static final int STREAMS_AHEAD = 10;
    /** Just under the largest frame of the peers' protocol. */
    private static final int LARGEST_FRAME = 4 * 1024 * 1024 - 100;

    private static final String STREAM_BODY =
            "{\"model\":\"tutor\",\"max_tokens\":2000,\"stream\":true,\"first_token_ms\":600000,\"prompt\":\"hello\"}";
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
        REQUESTS_AHEAD,
        /** Sends a body of the largest size in packets of its own, except for its last bytes. */
        SMALL_PIECES_STOPPING_SHORT,
        /** Announces a body far over the limit and sends it. */
        BODY_OVER_LIMIT,
        /** Sends heads of very many short fields whole, many ahead, and reads no response. */
        MANY_FIELDS_AHEAD,
        /** Sends short fields without end behind the last chunk. */
        FIELDS_BEHIND_BODY,
        /** Sends two thirds of a body at once and then single bytes. */
        SLOW_SENDER,
        /** Sends a body in chunks of one byte, without the last one. */
        SINGLE_BYTE_CHUNKS,
        /** Begins a head and then sends single bytes of it. */
        SLOW_HEAD,
        /** Asks for streams, one behind the other, and reads none. */
        STREAMS_UNREAD,
        /** Sends requests ahead, ends its output and reads no response. */
        REQUESTS_AHEAD_HALF_CLOSED,
        /** Sends a frame of the peers' protocol of the largest size, except for its last bytes. */
        FRAME_STOPPING_SHORT,
        /** Sends nothing. */
        SILENT
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

    private void send(Kind kind, Socket socket, String path) throws IOException {
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
            case REQUESTS_AHEAD -> write(socket, head("GET", path, "Content-Length: 0") + "\r\n", REQUESTS_AHEAD);
            case SMALL_PIECES_STOPPING_SHORT -> {
                socket.setTcpNoDelay(true);
                write(socket, head("POST", path, "Content-Length: " + LARGEST_BODY) + "\r\n", 1);
                write(socket, "x".repeat(SMALL_PIECE), LARGEST_BODY / SMALL_PIECE - 1);
            }
            case BODY_OVER_LIMIT -> {
                write(socket, head("POST", path, "Content-Length: " + 20 * LARGEST_BODY) + "\r\n", 1);
                write(socket, "x".repeat(SMALL_PIECE), 20 * (LARGEST_BODY / SMALL_PIECE) - 1);
            }
            case MANY_FIELDS_AHEAD ->
                write(
                        socket,
                        head("GET", path, "Content-Length: 0") + "a:\r\n".repeat(FIELDS) + "\r\n",
                        LARGE_REQUESTS_AHEAD);
            case FIELDS_BEHIND_BODY -> {
                write(socket, head("POST", path, "Transfer-Encoding: chunked") + "\r\n1\r\nx\r\n0\r\n", 1);
                write(socket, "a:\r\n".repeat(1_000), 400);
            }
            case SLOW_SENDER -> {
                write(socket, head("POST", path, "Content-Length: " + LARGEST_BODY) + "\r\n", 1);
                socket.getOutputStream().write(BODY, 0, LARGEST_BODY / 3 * 2);
                sendSlowly(socket);
            }
            case SINGLE_BYTE_CHUNKS -> {
                write(socket, head("POST", path, "Transfer-Encoding: chunked") + "\r\n", 1);
                write(socket, "1\r\nx\r\n".repeat(1_000), SINGLE_BYTES / 1_000);
            }
            default -> sendOther(kind, socket, path);
        }
    }

    private void sendOther(Kind kind, Socket socket, String path) throws IOException {
        switch (kind) {
            case SLOW_HEAD -> {
                write(socket, "GET " + path + " HTTP/1.1\r\nHost: h.example\r\na: ", 1);
                sendSlowly(socket);
            }
            case STREAMS_UNREAD -> {
                String fields =
                        "Authorization: Bearer " + DaemonOnLoopback.KEY + "\r\nContent-Length: " + STREAM_BODY.length();
                write(socket, head("POST", path, fields) + "\r\n" + STREAM_BODY, STREAMS_AHEAD);
            }
            case REQUESTS_AHEAD_HALF_CLOSED -> {
                write(socket, head("GET", path, "Content-Length: 0") + "\r\n", REQUESTS_AHEAD);
                socket.shutdownOutput();
            }
            case FRAME_STOPPING_SHORT -> {
                socket.getOutputStream()
                        .write(ByteBuffer.allocate(Integer.BYTES)
                                .putInt(LARGEST_FRAME)
                                .array());
                socket.getOutputStream().write(BODY, 0, LARGEST_FRAME - 10);
            }
            default -> {}
        }
    }

    private void sendSlowly(Socket socket) throws IOException {
        sent.countDown();
        try {
            while (!socket.isClosed()) {
                write(socket, "x", 1);
                TimeUnit.MILLISECONDS.sleep(200);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
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
