/** Guards, with separate processes, against limits of all routers that are exceeded while upstreams fail and routers start. */
import t from "tap";
import { formatSceneResult, getScene, playLimitScene } from "../tools/limitScenes.js";

const NETWORK = 210;
const SCENES = ["fail, routers restart in series", "fail, all routers restart", "hang", "slow"] as const;

for (const [i, name] of SCENES.entries()) {
    void t.test(`upstreams get more than all routers together may send: ${name}`, async t => {
        const result = await playLimitScene(getScene(name), NETWORK + i);
        t.same(result.broken, [], formatSceneResult(result));
    });
}
