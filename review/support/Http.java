import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Just enough of HTTP/1.1, byte by byte, for stand-ins that also have to misbehave. */
final class Http {

    /** Serves one request; the connection is closed when it throws. */
    interface Handler {
        void handle(Message request, Connection connection) throws IOException;
    }

    /** A request or a response; names of headers are in lower case. */
    record Message(String startLine, Map<String, List<String>> headers, byte[] body) {

        String header(String name) {
            List<String> values = headers.get(name.toLowerCase(Locale.ROOT));
            return values == null ? "" : values.get(0);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** One connection, at either end. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream input;
        final OutputStream output;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            input = new java.io.BufferedInputStream(socket.getInputStream());
            output = socket.getOutputStream();
        }

        static Connection open(int port, int readTimeoutMillis) throws IOException {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout(readTimeoutMillis);
            return new Connection(socket);
        }

        void send(String text) throws IOException {
            send(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void send(byte[] bytes) throws IOException {
            output.write(bytes);
            output.flush();
        }

        /** Sends a response with a length. */
        void respond(int status, List<String> headers, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach(header -> head.append(header).append("\r\n"));
            head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.writeBytes(bytes);
            send(all.toByteArray());
        }

        /** Reads a message; null if the connection ends before its first byte. */
        Message read() throws IOException {
            String startLine = line();
            if (startLine == null) {
                return null;
            }
            Map<String, List<String>> headers = new TreeMap<>();
            for (String line = line(); line != null && !line.isEmpty(); line = line()) {
                int colon = line.indexOf(':');
                headers.computeIfAbsent(line.substring(0, colon).toLowerCase(Locale.ROOT), name -> new ArrayList<>())
                        .add(line.substring(colon + 1).strip());
            }
            Message head = new Message(startLine, headers, new byte[0]);
            boolean response = startLine.startsWith("HTTP/");
            byte[] body = new byte[0];
            if (head.header("transfer-encoding").equals("chunked")) {
                body = chunks();
            } else if (!head.header("content-length").isEmpty()) {
                body = exactly(Integer.parseInt(head.header("content-length")));
            } else if (response && head.status() >= 200) {
                body = input.readAllBytes();
            }
            return new Message(startLine, headers, body);
        }

        private byte[] exactly(int length) throws IOException {
            byte[] bytes = input.readNBytes(length);
            if (bytes.length < length) {
                throw new IOException("the body ends after " + bytes.length + " of " + length + " bytes");
            }
            return bytes;
        }

        private byte[] chunks() throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line();
                if (size == null) {
                    throw new IOException("the body ends before its last chunk");
                }
                int length = Integer.parseInt(size.strip(), 16);
                body.writeBytes(exactly(length));
                line();
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }

        private String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = input.read(); next != '\n'; next = input.read()) {
                if (next < 0) {
                    return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
                }
                if (next != '\r') {
                    line.write(next);
                }
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }

        /** Closes the connection so that the other end sees a reset. */
        void reset() throws IOException {
            if (!socket.isClosed()) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    /** Listens on a free loopback port; each connection has a virtual thread. */
    static final class Server {
        private final ServerSocket listener;
        private final List<Connection> connections = new ArrayList<>();

        Server(Handler handler) throws IOException {
            listener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
            Thread.startVirtualThread(() -> accept(handler));
        }

        int port() {
            return listener.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        private void accept(Handler handler) {
            while (!listener.isClosed()) {
                try {
                    Connection connection = new Connection(listener.accept());
                    synchronized (connections) {
                        connections.add(connection);
                    }
                    Thread.startVirtualThread(() -> serve(handler, connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private static void serve(Handler handler, Connection connection) {
            try (connection) {
                for (Message request = connection.read(); request != null; request = connection.read()) {
                    handler.handle(request, connection);
                }
            } catch (IOException | RuntimeException e) {
                // The other end has left, or the stand-in ends the connection on purpose.
            }
        }

        /** Closes all open connections. */
        void dropConnections() throws IOException {
            synchronized (connections) {
                for (Connection connection : connections) {
                    connection.close();
                }
                connections.clear();
            }
        }

        void close() throws IOException {
            listener.close();
            dropConnections();
        }
    }

    private Http() {}
}
