/** The least that a relay can be: fastify and undici, bytes passed through. For comparison only. */
import { fastify } from "fastify";
import { Pool } from "undici";

const engineUrl = process.argv[2]!;
const pool = new Pool(engineUrl, { connections: 128 });
const app = fastify();
app.removeAllContentTypeParsers();
app.addContentTypeParser("*", { parseAs: "buffer" }, (_request, body, done) => done(null, body));
app.post("/v1/chat/completions", async (request, reply) => {
    const response = await pool.request({
        method: "POST",
        path: request.url,
        headers: { "content-type": "application/json" },
        body: request.body as Buffer,
    });
    return reply.status(response.statusCode).header("content-type", response.headers["content-type"]).send(
        response.body,
    );
});
console.log(await app.listen({ host: "127.0.0.1", port: 0 }));
